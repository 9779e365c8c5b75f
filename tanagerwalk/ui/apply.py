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
    help="Revision in force that the change builds on, as `diff` and `show` tell.",
)
@click.argument("declaration")
def apply(settings_path, after, declaration):
    """Put a DECLARATION file in force on the whole fleet."""
    settings = read_settings(settings_path)
    text = read_text(declaration)
    checked = parse_declaration(text)
    if checked.is_error():
        fail(*checked.error)

    async def work(store):
        return await put_declaration(store, text, after)

    result = run_with_store(settings, work)
    if result.is_error():
        fail(result.error)
    click.echo(f"revision {result.ok}")


async def put_declaration(store, text, after):
    """Write a declaration with one compare-and-swap.

    Parameters
    ----------
    store : KeyValueClient
        The store.
    text : str
        A checked declaration.
    after : int
        Revision that the change builds on; 0 if none is in force yet.

    Returns
    -------
    Result of Revision, or of str
    """
    found = await store.get(DECLARATION_KEY)
    if found.is_error():
        return Error("the key-value service is not reached")
    newest = found.ok.revision if found.ok else Revision(0)
    if found.ok and found.ok.value.decode() == text:
        return Ok(newest)
    if after != newest:
        return Error(
            f"revision {newest} is in force, not {after}: compare with"
            f" `tanagerwalk diff`, then apply --after {newest}"
        )
    extra_puts = ()
    if found.ok:
        patch = make_patch(found.ok.value.decode(), text)
        extra_puts = ((PATCH_KEY, msgspec.json.encode(patch)),)
    written = await store.write(
        Write(DECLARATION_KEY, text.encode(), newest, extra_puts=extra_puts)
    )
    if written.is_error():
        return await _resolve_write(store, text, written.error)
    if not written.ok.applied:
        return Error("another change came first; read it and apply again")
    return Ok(written.ok.revision)


async def _resolve_write(store, text, fault):
    """Find out whether a write whose answer was lost took effect."""
    if fault is StoreFault.NOT_APPLIED:
        return Error("the key-value service is not reached")
    found = await store.get(DECLARATION_KEY)
    if found.is_ok() and found.ok is not None and found.ok.value.decode() == text:
        return Ok(found.ok.revision)
    return Error("the key-value service gave no answer; apply again to be sure")
