"""Which backend servers an instance reads the load of next."""

import heapq

UNWATCHED_FACTOR = 20.0


def select_scrapes(table, now, settings, budget):
    """Choose the servers whose load is read now, the most overdue first.

    A server that carries work of this instance is read each `interval`, one that
    it may use each `idle_interval`, and any other rarely, in case it has loaded a
    version that no nearer server has. The budget bounds the cost on any fleet; on
    a fleet too large for it the reports grow older.

    Parameters
    ----------
    table : ServerTable
        The servers.
    now : float
        Monotonic time in seconds.
    settings : LoadSettings
        Intervals.
    budget : int
        Servers to choose at most.

    Returns
    -------
    list of BackendServer
    """
    watched = table.list_watched()
    due = []
    for server in table.servers.values():
        if server.leaving:
            continue
        overdue = _measure_overdue(server, server.record.id in watched, now, settings)
        if overdue >= 1.0:
            due.append((overdue, server))
    chosen = heapq.nlargest(budget, due, key=lambda pair: pair[0])
    return [server for _, server in chosen]


def _measure_overdue(server, is_watched, now, settings):
    age = now - max(server.load_reported_at, server.scraped_at)
    if server.in_flight > 0:
        return age / settings.interval
    if is_watched:
        return age / settings.idle_interval
    return age / (settings.idle_interval * UNWATCHED_FACTOR)
