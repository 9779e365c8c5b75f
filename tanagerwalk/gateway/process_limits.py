"""The limits of the machine that an instance keeps to: memory and descriptors."""

from ..decisions.descriptor_budget import (
    DescriptorBudget,
    DescriptorKind,
    find_descriptor_capacity,
)
from ..process_memory import find_room, read_sizes
from .client_admission import ClientAdmission
from .descriptors import LimitedDial, read_system_limit
from .heap_trim import HeapTrim
from .memory import MemoryBudget, find_capacity


class ProcessLimits:
    """Budgets of memory and of descriptors, shared by all parts of an instance.

    Parameters
    ----------
    settings : GatewaySettings
        States the limits; the operating system may set tighter ones.
    clock : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    memory : MemoryBudget
        Memory of requests, answers and tunnels.
    descriptors : DescriptorBudget
        Descriptors of connections.
    admission : ClientAdmission
        Decides which connections of clients stay open.
    store_copy_bytes : int
        Memory of the copy of the store.
    """

    def __init__(self, settings, clock):
        limit = settings.memory_limit
        room = None if limit is None else find_room(limit, read_sizes())
        self.store_copy_bytes = 0
        self._heap_trim = HeapTrim(clock)
        self.memory = MemoryBudget(find_capacity(room), clock)
        self.memory.on_peak_over = self._heap_trim.schedule
        self.descriptors = DescriptorBudget(
            find_descriptor_capacity(settings.max_descriptors, read_system_limit())
        )
        self.admission = ClientAdmission(
            self.descriptors.parts[DescriptorKind.CLIENT], clock
        )

    @property
    def peer_part(self):
        """The DescriptorPart of connections with other instances."""
        return self.descriptors.parts[DescriptorKind.PEER]

    def limit_server_dial(self, make_room):
        """Return a function like `open_connection`, for connections to servers.

        Parameters
        ----------
        make_room : callable
            Closes a connection that is not in use, and returns whether there was one.
        """
        return LimitedDial(
            self.descriptors.parts[DescriptorKind.SERVER], make_room
        ).open

    def limit_tunnel_dial(self):
        """Return a function like `open_connection`, for connections of tunnels."""
        return LimitedDial(self.peer_part, _make_no_room).open

    def limit_peers(self, peer_server):
        """Have a PeerServer keep to the descriptors, and count its memory."""
        peer_server.reserve = self.peer_part.try_reserve
        peer_server.release = self.peer_part.release
        peer_server.hold_memory = self._hold_peer_memory

    def hold_store_copy(self, change):
        """Count bytes of the copy of the store; negative for bytes given back."""
        self.store_copy_bytes += change
        self.memory.set_aside(self.store_copy_bytes)

    def _hold_peer_memory(self, change):
        if change > 0:
            self.memory.reserve(change)
        elif change < 0:
            self.memory.release(-change)

    def report(self, metrics):
        """Write what is in use into the GatewayMetrics."""
        metrics.memory_used.set(self.memory.used)
        metrics.memory_capacity.set(self.memory.capacity)
        metrics.store_copy_memory.set(self.store_copy_bytes)
        metrics.waiting_answers.set(self.memory.answers.waiting_count)
        metrics.resident_memory.set(read_sizes().resident)
        metrics.set_descriptors(self.descriptors, self.admission)

    def close(self):
        """Give no more memory back to the system."""
        self._heap_trim.close()


def _make_no_room():
    return False
