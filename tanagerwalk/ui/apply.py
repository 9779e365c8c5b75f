"""Command `apply`: put a declaration in force."""

import click
import msgspec
from expression import Error, Ok

from ..controllers.configuration import DECLARATION_KEY, PATCH_KEY
from ..decisions.patches import make_patch
from ..declarations import parse_declaration
from ..ids import Revision
from ..writes import StoreFault, Write
from .common import fail, read_settings, read_text, run_with_store, settings_option


@click.command()
@settings_option
@click.option(
    "--after",
    type=int,
    default=0,
    help="Revision in force that the change is based on (see `diff`, `show`).",
)
@click.argument("declaration")
def apply(settings_path, after, declaration):
    """Put a DECLARATION file in force on all instances."""
    settings = read_settings(settings_path)
    text = read_text(declaration)
    parsed = parse_declaration(text)
    if parsed.is_error():
        fail(*parsed.error)

    async def write_declaration(store):
        return await put_declaration(store, text, after)

    result = run_with_store(settings, write_declaration)
    if result.is_error():
        fail(result.error)
    click.echo(f"revision {result.ok}")


async def put_declaration(store, text, after):
    """Write a declaration to the store with a single compare-and-swap.

    Parameters
    ----------
    store : KeyValueClient
        Client of the key-value service.
    text : str
        A declaration that has already been validated.
    after : int
        Revision that the change is based on; 0 if no declaration is in force yet.

    Returns
    -------
    Result of Revision, or of str
        The new revision, or an error message.
    """
    current = await store.get(DECLARATION_KEY)
    if current.is_error():
        return Error("cannot reach the key-value service")
    current_revision = current.ok.revision if current.ok else Revision(0)
    if current.ok and current.ok.value == text.encode():
        return Ok(current_revision)
    if after != current_revision:
        return Error(
            f"revision {current_revision} is in force, not {after}: compare with"
            f" `tanagerwalk diff`, then apply --after {current_revision}"
        )
    extra_puts = ()
    if current.ok:
        # If the stored text is not UTF-8, no instance has it, so none applies this
        # patch.
        patch = make_patch(current.ok.value.decode("utf-8", "replace"), text)
        extra_puts = ((PATCH_KEY, msgspec.json.encode(patch)),)
    written = await store.write(
        Write(DECLARATION_KEY, text.encode(), current_revision, extra_puts=extra_puts)
    )
    if written.is_error():
        return await _resolve_write(store, text, written.error)
    if not written.ok.applied:
        return Error("another change was applied first; review it and apply again")
    return Ok(written.ok.revision)


async def _resolve_write(store, text, fault):
    """Check whether a write took effect although its response was lost."""
    if fault is StoreFault.NOT_APPLIED:
        return Error("cannot reach the key-value service")
    current = await store.get(DECLARATION_KEY)
    if current.is_ok() and current.ok is not None and current.ok.value == text.encode():
        return Ok(current.ok.revision)
    return Error("the key-value service did not respond; apply again to be sure")
