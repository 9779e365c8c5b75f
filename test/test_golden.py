"""End-to-end sessions compared with golden files.

Run with UPDATE_GOLDEN=1 to regenerate the golden files. A step sends a request, sets
an attribute of a stand-in, or changes the declaration. "$session" is replaced by the
session token of the last answer.
"""

import json
import os
import re
from pathlib import Path

import pytest

FOLDER = Path(__file__).parent / "golden"
SESSIONS = sorted(path.stem for path in FOLDER.glob("*.json"))
HEADERS = ("Content-Type", "Retry-After", "X-Session", "X-Version")
TOKEN = re.compile(r"tw1\.[0-9a-f]+\.[\w-]+")
GENERATED_ID = re.compile(r"\b[0-9a-f]{32}\b")
CREATED = re.compile(r'"created":\d+')
EVENT = "data: "


def normalise(text):
    text = TOKEN.sub("$session", text)
    text = GENERATED_ID.sub("$id", text)
    return CREATED.sub('"created":0', text)


def read_body(content):
    text = normalise(content.decode())
    if not text.startswith(EVENT):
        return json.loads(text)
    events = [line[len(EVENT) :] for line in text.split("\n\n") if line]
    return [json.loads(e) if e.startswith("{") else e for e in events]


class GoldenSession:
    """Runs the steps of one golden file."""

    def __init__(self, demo):
        self.demo = demo
        self.instances = list(demo.instances.values())
        self.session = ""

    async def play(self, step):
        if "set" in step:
            target, name = step["set"].split(".")
            setattr(self.find_standin(target), name, step["value"])
            return None
        if "change" in step:
            await self.change(*step["change"])
            return None
        return await self.send(step["instance"], step["request"])

    async def wait_for_claims(self):
        """Wait until the claims of earlier steps are settled in the store."""
        if not self.demo.keyvalue.outage:
            await self.demo.wait_until(
                lambda: not any(i.records.claims.open_count for i in self.instances)
            )

    def find_standin(self, name):
        demo = self.demo
        standins = {"keyvalue": demo.keyvalue, **demo.services, **demo.engines}
        return standins[name]

    async def change(self, old, new):
        text = self.instances[0].configuration.text
        assert old in text
        revision = await self.demo.apply(text.replace(old, new, 1))
        await self.demo.wait_until(
            lambda: all(i.configuration.revision == revision for i in self.instances)
        )

    async def send(self, number, request):
        headers = {
            name: value.replace("$session", self.session)
            for name, value in request.get("headers", {}).items()
        }
        status, content, answered = await self.demo.post(
            self.instances[number],
            request["path"],
            request["body"],
            request.get("key", "desk-key"),
            **headers,
        )
        self.session = answered.get("X-Session", self.session)
        kept = {name: normalise(answered[name]) for name in HEADERS if name in answered}
        return {"status": status, "headers": kept, "body": read_body(content)}


@pytest.mark.parametrize("name", SESSIONS)
async def test_session_matches_its_golden_file(demo, name):
    path = FOLDER / f"{name}.json"
    steps = json.loads(path.read_text())
    session = GoldenSession(demo)
    for step in steps:
        await session.wait_for_claims()
        answer = await session.play(step)
        if answer is None:
            continue
        if os.environ.get("UPDATE_GOLDEN"):
            step["answer"] = answer
        assert step["answer"] == answer, step["why"]
    if os.environ.get("UPDATE_GOLDEN"):
        path.write_text(json.dumps(steps, indent=1) + "\n")
