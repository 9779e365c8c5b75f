"""Attempts that wait for servers, to be ended if a part of their prompt is guilty."""

from .endable_blocks import EndableBlock


class RunningRequests:
    """Keeps the attempts of requests whose prompts have parts that others share."""

    def __init__(self):
        self._guards = set()

    def guard(self, request, progress):
        """Return an AttemptGuard for the next attempt of a request.

        Parameters
        ----------
        request : GatewayRequest
            The request.
        progress : StreamProgress
            What the client has received.
        """
        return AttemptGuard(self._guards, request, progress)

    def end(self, part):
        """End the attempts with a part that no client has received anything of."""
        for guard in list(self._guards):
            guard.end_if_affected(part)


class AttemptGuard(EndableBlock):
    """A block that can be ended from outside; `is_ended` then tells so.

    Parameters
    ----------
    guards : set of AttemptGuard
        Where it is listed while the block runs.
    request : GatewayRequest
        The request.
    progress : StreamProgress
        What the client has received.
    """

    def __init__(self, guards, request, progress):
        super().__init__(guards)
        self._request = request
        self._progress = progress
        self.is_ended = False

    def end_if_affected(self, part):
        """End the block if its request has a part, and its answer has not begun."""
        request = self._request
        if part not in request.shared_parts or request.is_trial:
            return
        if self._progress.head_sent or self.is_ended:
            return
        self.is_ended = True
        self.end()
