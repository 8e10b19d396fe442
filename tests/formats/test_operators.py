"""The operators' line protocol, held by a fixture that the program wrote before its names were changed.

The fixture is a conversation with a node of two servers: the line after ``> `` is sent (as a Python bytes literal,
since some are no text), the line after ``< `` must come back.
"""

import ast
from pathlib import Path

from peers import RunningNode, ScriptedServer, reply, run

from oakbridge.operators.executor import NodeCommandExecutor
from oakbridge.operators.protocol import respond

FIXTURE = Path(__file__).parent / "fixtures" / "operators" / "conversation.txt"


def test_each_line_gets_the_same_answer():
    lines = FIXTURE.read_text().splitlines()

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as a,
            ScriptedServer(lambda _: reply(200)) as b,
            RunningNode(a, b) as node,
        ):
            starting = NodeCommandExecutor(node.node)
            assert respond(b"HEALTH", starting.execute) == b"NO this process does not serve yet\n"
            executor = NodeCommandExecutor(node.node, is_started=True)
            for sent, expected in zip(lines[::2], lines[1::2], strict=True):
                assert (
                    respond(ast.literal_eval(sent[2:]), executor.execute).decode()
                    == expected[2:] + "\n"
                )

    run(scenario())
