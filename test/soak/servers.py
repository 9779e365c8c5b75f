"""What distinguishes the soak's servers, by the number in their ids."""

# Of the servers, in turn; the gateways are in the first one.
FAILURE_DOMAINS = ("a-1", "a-2", "b-1")
# Work for an event of a stream or a plain response, by turns over the servers.
WORK_TIMES_S = (0.01, 0.02, 0.03)


def find_failure_domain(server_id):
    """Return the failure domain of a server."""
    return FAILURE_DOMAINS[_find_number(server_id) % len(FAILURE_DOMAINS)]


def find_region(server_id):
    """Return the region of a server."""
    return find_failure_domain(server_id).partition("-")[0]


def find_work_time(server_id):
    """Return the seconds of work for an event or a plain response on a server."""
    number = _find_number(server_id) // len(FAILURE_DOMAINS)
    return WORK_TIMES_S[number % len(WORK_TIMES_S)]


def _find_number(server_id):
    return int(server_id.rpartition("-")[2])
