"""Sessions, which keep a conversation on one version.

A token issued by the router contains the signed version and needs no storage. For a
session id chosen by the caller, the first request stores the version under that id.
"""

import hashlib

import msgspec
from expression import Error, Ok
from itsdangerous import BadSignature, Signer

from ..ids import ClassName, ClientAccountId, Revision, VersionName
from ..messages import Session
from ..outcomes import Refusal, RefusalReason

TOKEN_PREFIX = "tw1."
MAX_ID_LENGTH = 128
RETRY_AFTER_UNCONFIRMED_S = 5.0


class SessionClaims(msgspec.Struct, frozen=True):
    """Contents of a session token, and of the record stored for a caller's id.

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
        Wall-clock start time, in seconds since the epoch.
    """

    version: VersionName
    account: ClientAccountId
    work_class: ClassName
    revision: Revision
    started: int


class SessionTokens:
    """Issues and verifies session tokens.

    Parameters
    ----------
    secrets : str
        Signing secrets, separated by spaces and equal on all instances. The first one
        signs; all are accepted for verification, so that secrets can be rotated.
    lifetime : float
        Lifetime of a token in seconds.
    """

    def __init__(self, secrets, lifetime):
        # itsdangerous signs with the last key of the list.
        keys = secrets.split()[::-1]
        self._signer = Signer(keys, salt="session", digest_method=hashlib.sha256)
        self._lifetime = lifetime

    def issue(self, claims):
        """Return the Session for `claims`."""
        token = self._signer.sign(msgspec.json.encode(claims).hex()).decode()
        return Session(claims.version, TOKEN_PREFIX + token)

    def verify(self, token, account, work_class, now):
        """Verify a token sent by a caller.

        Parameters
        ----------
        token : str
            The token as received.
        account : ClientAccountId
            The caller's client account.
        work_class : ClassName
            The class of work of the caller's request.
        now : float
            Wall-clock time in seconds since the epoch.

        Returns
        -------
        Result of Session, or of Refusal
        """
        try:
            signed = token.removeprefix(TOKEN_PREFIX)
            payload = bytes.fromhex(self._signer.unsign(signed).decode())
            claims = msgspec.json.decode(payload, type=SessionClaims)
        except (BadSignature, ValueError):
            return _refuse("the session token is not valid")
        return self.check(claims, token, account, work_class, now)

    def check(self, claims, name, account, work_class, now):
        """Check whether a request may continue a session.

        Parameters
        ----------
        claims : SessionClaims
            Contents of the session's token or stored record.
        name : str
            Token or id of the session, as sent by the caller.
        account, work_class, now
            As for `verify`.

        Returns
        -------
        Result of Session, or of Refusal
        """
        if (claims.account, claims.work_class) != (account, work_class):
            return _refuse("the session belongs to other work")
        if now - claims.started > self._lifetime:
            return _refuse("the session is too old")
        return Ok(Session(claims.version, name))


def is_token(name):
    """Return whether a session name is a router token rather than a caller's id."""
    return name.startswith(TOKEN_PREFIX)


def check_id(name):
    """Return the refusal for an invalid session id, or None if it is valid."""
    if len(name) <= MAX_ID_LENGTH and name.isprintable():
        return None
    message = f"a session id has up to {MAX_ID_LENGTH} printable characters"
    return Refusal(RefusalReason.SESSION_INVALID, message)


def refuse_unconfirmed():
    """Return the refusal for a session id whose version the store did not confirm."""
    return Refusal(
        RefusalReason.SESSION_UNCONFIRMED,
        "the platform's key-value service does not confirm the session's version",
        retry_after=RETRY_AFTER_UNCONFIRMED_S,
    )


def _refuse(message):
    return Error(Refusal(RefusalReason.SESSION_INVALID, message))
