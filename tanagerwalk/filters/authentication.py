"""Authentication of callers and lookup of the requested class of work."""

import hashlib

import msgspec
from expression import Error

from ..ids import ClassName, Fingerprint
from ..outcomes import Refusal, RefusalReason
from .part_blames import list_shared_messages

RETRY_AFTER_NOT_READY_S = 2.0


class AuthenticationFilter:
    """Authenticates the caller and checks its access to the class of work.

    Parameters
    ----------
    configuration : ConfigurationState
        The declaration in force.
    """

    def __init__(self, configuration):
        self._configuration = configuration

    async def handle(self, context, proceed):
        """Set the account, class, deadline and fingerprint of the request."""
        if not self._configuration.ready:
            return _refuse(
                RefusalReason.NOT_READY,
                "this instance has no declaration yet",
                RETRY_AFTER_NOT_READY_S,
            )
        declaration = self._configuration.declaration
        account = declaration.find_account(context.credential)
        if account is None:
            return _refuse(RefusalReason.UNAUTHENTICATED, "the key is not known")
        work_class = declaration.classes.get(ClassName(context.class_name))
        if work_class is None or work_class.interface is not context.interface:
            return _refuse(
                RefusalReason.CLASS_UNKNOWN,
                f'no class "{context.class_name}" is served at this path',
            )
        if work_class.name not in account.classes:
            return _refuse(
                RefusalReason.CLASS_NOT_ALLOWED,
                f'class "{work_class.name}" is not allowed to the account',
            )
        context.account = account
        context.work_class = work_class
        context.deadline = context.arrived + work_class.patience
        context.fingerprint = compute_fingerprint(context)
        context.shared_parts = list_shared_messages(context.payload)
        return await proceed(context)


def compute_fingerprint(context):
    """Return a hash of the account, class of work and body of a request.

    Parameters
    ----------
    context : RequestContext
        A request whose account and class are known.
    """
    body = msgspec.json.encode(context.payload, order="deterministic")
    digest = hashlib.sha256()
    for part in (context.account.name.encode(), context.work_class.name.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return Fingerprint(digest.hexdigest()[:32])


def _refuse(reason, message, retry_after=None):
    return Error(Refusal(reason, message, retry_after=retry_after))
