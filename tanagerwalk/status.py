"""Content of the admin API's status page."""


def describe_instance(instance):
    """Return the status page of an entry instance as a JSON-serializable dict.

    Parameters
    ----------
    instance : EntryInstance
        The instance.
    """
    return {
        "instance": instance.settings.instance.id,
        "incarnation": instance.incarnation,
        "failure_domain": instance.settings.instance.failure_domain,
        "ready": instance.is_ready(),
        "revision": instance.configuration.revision,
        "in_flight": instance.callers.in_flight,
        "rollouts": instance.rollouts.report_status(),
        "orders": instance.order_controller.report_status(),
        "backend_servers": [
            _describe_server(server) for server in instance.table.servers.values()
        ],
    }


def _describe_server(server):
    return {
        "id": server.record.id,
        "leaving": server.leaving,
        "in_flight": server.in_flight,
        "limit": round(server.limit, 2),
        "versions": sorted(server.versions),
    }
