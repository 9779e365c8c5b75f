"""Measures the time to parse a declaration by its number of client accounts."""

import time

from tanagerwalk.declarations import hash_key, parse_declaration

ACCOUNTS = (10, 100, 1000, 4000)
CLASSES = 12
VERSIONS = 8
ROUNDS = 3
CHANGES_PER_DAY = 2300
DAY_S = 86400


def make_declaration(accounts):
    """Return the text of a declaration with `accounts` client accounts."""
    classes = [f"class-{number}" for number in range(CLASSES)]
    versions = [f"model:{number}" for number in range(VERSIONS)]
    lines = []
    for name in classes:
        lines += [f"[class {name}]", "quality = 0.9", "lateness = 20 s", "cost = 0.01"]
    for name in versions:
        evaluated = " ".join(f"{work_class}:0.9" for work_class in classes)
        lines += [f"[version {name}]", "state = released", "cost = 0.1"]
        lines += [f"evaluated = {evaluated}"]
    for number in range(accounts):
        lines += [
            f"[account account-{number}]",
            f"key_sha256 = {hash_key(str(number))}",
        ]
        lines += [f"classes = {' '.join(classes)}", f"versions = {' '.join(versions)}"]
    return "\n".join(lines) + "\n"


def main():
    """Print one row for each number of accounts."""
    print("accounts      KB  parse_ms  core%_at_2300_changes_a_day")
    for accounts in ACCOUNTS:
        text = make_declaration(accounts)
        started = time.process_time()
        for _ in range(ROUNDS):
            result = parse_declaration(text)
        cpu_s = (time.process_time() - started) / ROUNDS
        if result.is_error():
            raise AssertionError(result.error)
        share = 100 * cpu_s * CHANGES_PER_DAY / DAY_S
        print(f"{accounts:>8}{len(text) / 1e3:>8.1f}{cpu_s * 1e3:>10.1f}{share:>10.3f}")


if __name__ == "__main__":
    main()
