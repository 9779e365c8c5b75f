"""Selection of the backend servers whose load is scraped next."""

import heapq

UNWATCHED_FACTOR = 20.0


def select_scrapes(table, now, settings, budget):
    """Select the servers to scrape now, the most overdue first.

    A server with attempts of this instance in flight is scraped every `interval`,
    another watched server every `idle_interval`. The rest are scraped
    UNWATCHED_FACTOR times less often, in case one has loaded a version that no
    watched server has. The budget bounds the cost for a fleet of any size; if the
    fleet is too large for it, the reports get older.

    Parameters
    ----------
    table : ServerTable
        The servers.
    now : float
        Monotonic time in seconds.
    settings : LoadSettings
        Scrape intervals.
    budget : int
        Maximum number of servers to select.

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
