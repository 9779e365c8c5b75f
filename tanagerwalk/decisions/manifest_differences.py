"""What differs between two manifests."""

from dataclasses import fields


def list_differences(old, new):
    """Return one line for each entry that was added, removed or changed.

    Keys are counted, never shown.

    Parameters
    ----------
    old, new : Manifest
        The manifests.

    Returns
    -------
    list of str
    """
    lines = []
    versions = (old.version, new.version)
    if None not in versions and new.version <= old.version:
        lines.append(f"version {new.version} is not above {old.version}")
    lines += _compare("route", _index_routes(old), _index_routes(new))
    lines += _compare("service", old.services, new.services)
    lines += _compare("account", _index_accounts(old), _index_accounts(new))
    lines += _compare(
        "limits", {"of requests": old.limits}, {"of requests": new.limits}
    )
    if old.needs_keys != new.needs_keys:
        lines.append(f"keys are {'' if new.needs_keys else 'not '}needed now")
    return lines


def _index_routes(manifest):
    return {route.name: route for route in manifest.list_routes()}


def _index_accounts(manifest):
    names = {
        *manifest.accounts.values(),
        *manifest.account_priorities,
        *manifest.account_regions,
    }
    return {name: _describe_account(manifest, name) for name in names}


def _describe_account(manifest, name):
    return {
        "keys": {key for key, account in manifest.accounts.items() if account == name},
        "priority": manifest.account_priorities.get(name),
        "allowed_regions": manifest.account_regions.get(name),
    }


def _compare(kind, old, new):
    for name in sorted(old.keys() | new.keys()):
        if name not in new:
            yield f"{kind} {name} removed"
        elif name not in old:
            yield f"{kind} {name} added"
        else:
            changes = _describe_changes(_to_dict(old[name]), _to_dict(new[name]))
            if changes:
                yield f"{kind} {name} changed: {', '.join(changes)}"


def _to_dict(entry):
    if isinstance(entry, dict):
        return entry
    return {field.name: getattr(entry, field.name) for field in fields(entry)}


def _describe_changes(old, new):
    return [
        f"{name} {_count(old[name], new[name])}"
        if name == "keys"
        else f"{name} {_show(old[name])} -> {_show(new[name])}"
        for name in old
        if old[name] != new[name]
    ]


def _count(old, new):
    return f"+{len(new - old)} -{len(old - new)}"


def _show(value):
    if isinstance(value, frozenset):
        return "[" + " ".join(sorted(value)) + "]"
    return str(value)
