"""The operators' line protocol, compared with a fixture that an earlier release wrote.

The fixture is a conversation with a node of two servers.  The line after ``> `` is sent; it is a
Python bytes literal, since some lines are not text.  The line after ``< `` is the response.
"""

import ast
from pathlib import Path

from peers import RunningNode, ScriptedServer, reply, run

from oakbridge.operators.executor import NodeCommandExecutor
from oakbridge.operators.protocol import respond

FIXTURE = Path(__file__).parent / "fixtures" / "operators" / "conversation.txt"


def test_each_line_gets_the_response_in_the_fixture():
    lines = FIXTURE.read_text().splitlines()

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as first,
            ScriptedServer(lambda _: reply(200)) as second,
            RunningNode(first, second) as node,
        ):
            not_started = NodeCommandExecutor(node.node)
            assert (
                respond(b"HEALTH", not_started.execute) == b"NO this process does not serve yet\n"
            )
            executor = NodeCommandExecutor(node.node, is_started=True)
            for sent, expected in zip(lines[::2], lines[1::2], strict=True):
                assert (
                    respond(ast.literal_eval(sent[2:]), executor.execute).decode()
                    == expected[2:] + "\n"
                )

    run(scenario())
