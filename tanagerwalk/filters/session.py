"""Binds a request to the version of its session."""

from ..decisions.sessions import SessionClaims


class SessionFilter:
    """Verifies the token of a session that the request continues.

    Parameters
    ----------
    tokens : SessionTokens
        Verifies tokens.
    wall_clock : callable
        Returns seconds since the epoch.
    """

    def __init__(self, tokens, wall_clock):
        self._tokens = tokens
        self._wall_clock = wall_clock

    async def handle(self, context, proceed):
        """Verify the token, if there is one."""
        if not context.session_token:
            return await proceed(context)
        verified = self._tokens.verify(
            context.session_token,
            context.account.name,
            context.work_class.name,
            self._wall_clock(),
        )
        if verified.is_error():
            return verified
        context.session = verified.ok
        return await proceed(context)


class SessionStarter:
    """Mints the session of a request that asks for one.

    Parameters
    ----------
    tokens : SessionTokens
        Mints tokens.
    configuration : ConfigurationState
        The declaration in force.
    wall_clock : callable
        Returns seconds since the epoch.
    """

    def __init__(self, tokens, configuration, wall_clock):
        self._tokens = tokens
        self._configuration = configuration
        self._wall_clock = wall_clock

    def start(self, context, version):
        """Bind the request's new session to `version`."""
        claims = SessionClaims(
            version,
            context.account.name,
            context.work_class.name,
            self._configuration.revision,
            int(self._wall_clock()),
        )
        context.session = self._tokens.mint(claims)
