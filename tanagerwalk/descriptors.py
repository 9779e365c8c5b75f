"""Descriptors of the process: raising its limit, and dividing them up."""

import errno
import resource

# Descriptors for listeners, the log, peers, store and platform, and the event loop.
OWN_DESCRIPTORS = 96
ADMIN_CONNECTIONS = 32
# One for the client and one for the backend server of its request.
DESCRIPTORS_PER_REQUEST = 2
MIN_CONNECTIONS = 8
OWN_LIMIT_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


def raise_limit(bound=0):
    """Raise the limit of descriptors as far as the system allows.

    Parameters
    ----------
    bound : int
        Most that the process may use; 0 for the hard limit.

    Returns
    -------
    int
        The limit in force.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = hard
    if bound and (hard == resource.RLIM_INFINITY or bound < hard):
        wanted = bound
    if soft == wanted:
        return soft
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    return wanted


def find_max_connections():
    """Return how many connections of clients leave enough descriptors to the rest."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    free = soft - OWN_DESCRIPTORS - ADMIN_CONNECTIONS
    return max(MIN_CONNECTIONS, free // DESCRIPTORS_PER_REQUEST)


def is_own_limit(error):
    """Return whether a call failed by a limit of this process or machine.

    Parameters
    ----------
    error : OSError
        The failure.
    """
    return error.errno in OWN_LIMIT_ERRORS
