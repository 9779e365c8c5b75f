"""Golden-file test: client responses and forwarded requests for each kind of route.

Run with UPDATE_GOLDEN=1 to regenerate the golden file.
"""

import json
import os
from pathlib import Path

from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import SMALL_MODEL, GatewayCluster

FILE = Path(__file__).parent.parent / "golden" / "gateway" / "sessions.json"
VOLATILE_HEADERS = ("x-tanagerwalk-deadline-ms",)


def describe_reply(reply):
    return {
        "status": reply.status,
        "headers": reply.headers,
        "body": reply.body.decode(),
        "complete": reply.complete,
    }


def collect_seen_requests(world):
    seen = []
    for server in world.servers.values():
        for request in server.requests:
            headers = {
                name: "$left" if name in VOLATILE_HEADERS else value
                for name, value in request.headers.items()
            }
            seen.append(
                {
                    "server": server.id,
                    "request": f"{request.method} {request.target}",
                    "headers": headers,
                    "body": request.body.decode(),
                }
            )
        server.requests.clear()
    return seen


async def run_session_steps():
    async with GatewayCluster() as world:
        await world.build(drafts=1, desks=1)
        drafts = world.servers["draft-0"]
        desk = world.servers["desk-0"]
        plan = {
            "Session": "s1",
            "X_Tanagerwalk_Length_Hint": "40",
            "X_Tanagerwalk_Hold": "forged",
        }
        steps = []

        async def step(name, data):
            reply = await world.send(data)
            servers = collect_seen_requests(world)
            steps.append({"step": name, "client": describe_reply(reply)})
            steps[-1]["servers"] = servers

        await step("stream, small model is enough", world.encode_plan(**plan))
        drafts.behaviour = Behaviour(confidence={SMALL_MODEL: 10})
        await step("stream, largest model follows", world.encode_plan(**plan))
        drafts.behaviour = Behaviour("cut", 1)
        await step("stream, cut and resumed", world.encode_plan(**plan))
        booking = world.encode("POST", "/bookings/3?slot=1", b"slot")
        await step("not idempotent, answered", booking)
        desk.behaviour = Behaviour("reset", 1)
        booking = world.encode("POST", "/bookings/4", b"slot")
        await step("not idempotent, answer lost", booking)
        desk.behaviour = Behaviour("refuse", 1)
        await step("idempotent, refused once", world.encode("GET", "/jobs/3"))
        await step("no route", world.encode("GET", "/none/3"))
        return steps


async def test_sessions_match_golden_file():
    steps = await run_session_steps()
    if os.environ.get("UPDATE_GOLDEN"):
        FILE.parent.mkdir(exist_ok=True)
        FILE.write_text(json.dumps(steps, indent=1) + "\n")
    assert steps == json.loads(FILE.read_text())
