"""Lookup and start of sessions."""

from expression import Error, Ok

from ..decisions.sessions import (
    SessionClaims,
    check_id,
    is_token,
    refuse_unconfirmed,
)


class SessionFilter:
    """Finds the session that a request continues.

    Parameters
    ----------
    tokens : SessionTokens
        Verifies tokens.
    pins : SessionPins
        Stored versions of the session ids that callers chose.
    wall_clock : callable
        Returns wall-clock time in seconds since the epoch.
    """

    def __init__(self, tokens, pins, wall_clock):
        self._tokens = tokens
        self._pins = pins
        self._wall_clock = wall_clock

    async def handle(self, context, proceed):
        """Find the session if the request names one, and run the request."""
        name = context.session_token
        if not name:
            return await proceed(context)
        found = (
            self._verify_token(context)
            if is_token(name)
            else await self._find_pinned(context)
        )
        if found.is_error():
            return found
        if found.ok is None:
            context.session_id = name
            context.wants_session = True
        context.session = found.ok
        return await proceed(context)

    def _verify_token(self, context):
        return self._tokens.verify(
            context.session_token,
            context.account.name,
            context.work_class.name,
            self._wall_clock(),
        )

    async def _find_pinned(self, context):
        name = context.session_token
        refusal = check_id(name)
        if refusal is not None:
            return Error(refusal)
        account = context.account.name
        found = await self._pins.find(account, name)
        if found.is_error():
            return Error(refuse_unconfirmed())
        if found.ok is None:
            return Ok(None)
        return self._tokens.check(
            found.ok, name, account, context.work_class.name, self._wall_clock()
        )


class SessionStarter:
    """Starts a session for a request that asks for one.

    Parameters
    ----------
    tokens : SessionTokens
        Issues and checks tokens.
    pins : SessionPins
        Stores the versions of the session ids that callers chose.
    configuration : ConfigurationState
        The declaration in force.
    wall_clock : callable
        Returns wall-clock time in seconds since the epoch.
    """

    def __init__(self, tokens, pins, configuration, wall_clock):
        self._tokens = tokens
        self._pins = pins
        self._configuration = configuration
        self._wall_clock = wall_clock

    async def start(self, context, version):
        """Bind the request's new session to a version.

        Parameters
        ----------
        context : RequestContext
            The request; its `session` is set on success.
        version : VersionName
            The version for the session.

        Returns
        -------
        Result of VersionName, or of Refusal
            The version of the session. It differs from `version` if another request
            with the same id was first.
        """
        claims = SessionClaims(
            version,
            context.account.name,
            context.work_class.name,
            self._configuration.revision,
            int(self._wall_clock()),
        )
        if context.session_id is None:
            context.session = self._tokens.issue(claims)
            return Ok(version)
        pinned = await self._pins.pin(context.session_id, claims)
        if pinned.is_error():
            return Error(refuse_unconfirmed())
        checked = self._tokens.check(
            pinned.ok,
            context.session_id,
            context.account.name,
            context.work_class.name,
            self._wall_clock(),
        )
        if checked.is_error():
            return checked
        context.session = checked.ok
        return Ok(checked.ok.version)
