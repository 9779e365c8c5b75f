"""Builds the connections to backend servers: pooled, direct and through tunnels."""

from ..decisions.tunnel_peers import TunnelPeers
from .connector import ServerConnector
from .pool import ConnectionPool
from .tunnel_client import TunnelClient
from .tunnels import TunnelServer


def build_tunnel_server(servers, paths, limits, clock):
    """Return the TunnelServer that connects other instances with backend servers.

    Parameters
    ----------
    servers : ServerPool
        The backend servers.
    paths : PathTable
        Tells which servers can be reached directly.
    limits : ProcessLimits
        Budgets of memory and descriptors.
    clock : callable
        Returns monotonic time in seconds.
    """
    tunnel_server = TunnelServer(servers, paths, limits.memory, clock)
    tunnel_server.dial = limits.limit_tunnel_dial()
    servers.on_kept_off = tunnel_server.retire
    return tunnel_server


def build_tunnel_client(failure_domain, directory, limits, clock, random):
    """Return the TunnelClient that asks other instances for connections.

    Parameters
    ----------
    failure_domain : FailureDomain
        Where this instance runs.
    directory : PeerDirectory
        Knows the other instances.
    limits : ProcessLimits
        Budget of descriptors.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Chooses among equal instances.
    """
    return TunnelClient(
        TunnelPeers(failure_domain, random),
        directory.get_peers,
        directory.get_address,
        limits.peer_part,
        clock,
    )


def build_connection_pool(servers, paths, tunnel_client, limits, clock, random):
    """Return the ConnectionPool of connections to backend servers.

    Parameters
    ----------
    servers : ServerPool
        The backend servers.
    paths : PathTable
        Tells which servers can be reached directly.
    tunnel_client : TunnelClient
        Opens connections through other instances.
    limits : ProcessLimits
        Budget of descriptors.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Source of jitter.
    """
    connector = ServerConnector(paths, tunnel_client, clock, random)
    connector.on_reachable = servers.end_pause
    pool = ConnectionPool(connector, paths, clock)
    connector.dial = limits.limit_server_dial(pool.close_longest_idle)
    return pool
