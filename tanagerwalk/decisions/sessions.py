"""Session tokens: a conversation's version, signed, with nothing stored."""

import hashlib

import msgspec
from expression import Error, Ok
from itsdangerous import BadSignature, Signer

from ..ids import ClassName, ClientAccountId, Revision, VersionName
from ..messages import Session
from ..outcomes import Refusal, RefusalReason


class SessionClaims(msgspec.Struct, frozen=True):
    """What a session token states.

    Parameters
    ----------
    version : VersionName
        The version that serves the session.
    account : ClientAccountId
        The client account that the session belongs to.
    work_class : ClassName
        The class of work of the session.
    revision : Revision
        The declaration's revision when the session began.
    started : int
        Wall-clock time of the beginning, in seconds since the epoch.
    """

    version: VersionName
    account: ClientAccountId
    work_class: ClassName
    revision: Revision
    started: int


class SessionTokens:
    """Mints and verifies session tokens.

    Parameters
    ----------
    secret : str
        Signing secret, the same on all instances.
    lifetime : float
        Seconds after which a token is refused.
    """

    def __init__(self, secret, lifetime):
        self._signer = Signer(secret, salt="session", digest_method=hashlib.sha256)
        self._lifetime = lifetime

    def mint(self, claims):
        """Return the Session for `claims`."""
        token = self._signer.sign(msgspec.json.encode(claims).hex()).decode()
        return Session(claims.version, token)

    def verify(self, token, account, work_class, now):
        """Check a token that a caller sent.

        Parameters
        ----------
        token : str
            The token as sent.
        account : ClientAccountId
            The caller's client account.
        work_class : ClassName
            The class of work that the caller named.
        now : float
            Wall-clock time in seconds since the epoch.

        Returns
        -------
        Result of Session, or of Refusal
        """
        try:
            payload = bytes.fromhex(self._signer.unsign(token).decode())
            claims = msgspec.json.decode(payload, type=SessionClaims)
        except (BadSignature, ValueError):
            return _refuse("the session token is not valid")
        if (claims.account, claims.work_class) != (account, work_class):
            return _refuse("the session token belongs to other work")
        if now - claims.started > self._lifetime:
            return _refuse("the session token is too old")
        return Ok(Session(claims.version, token))


def _refuse(message):
    return Error(Refusal(RefusalReason.SESSION_INVALID, message))
