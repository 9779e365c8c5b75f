"""How much of a limited resource of the process is in use."""


class ResourceBudget:
    """Counts what is in use of a resource, and refuses what goes beyond its capacity.

    Parameters
    ----------
    capacity : int
        Most that may be in use, in the unit of the resource: bytes or descriptors.

    Attributes
    ----------
    used : int
        Amount in use.
    peak : int
        Most that was ever in use.
    refused : int
        Number of reservations that were refused.
    """

    def __init__(self, capacity):
        self.capacity = capacity
        self.used = 0
        self.peak = 0
        self.refused = 0

    def has_room(self, amount, spare=0):
        """Return whether an amount fits that leaves so much to others."""
        return self.used + amount + spare <= self.capacity

    def try_reserve(self, amount, spare=0):
        """Reserve an amount if it fits.

        Parameters
        ----------
        amount : int
            Amount to reserve.
        spare : int
            Amount that has to stay free for others.

        Returns
        -------
        bool
            Whether it has been reserved.
        """
        if not self.has_room(amount, spare):
            self.refused += 1
            return False
        self.reserve(amount)
        return True

    def reserve(self, amount):
        """Count an amount that is in use already, even beyond the capacity."""
        self.used += amount
        self.peak = max(self.peak, self.used)

    def release(self, amount):
        """Give back a reserved amount."""
        self.used -= amount
