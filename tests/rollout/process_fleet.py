"""A fleet of processes on loopback: agents with certificates, and the nodes that they run."""

import os
import signal
import subprocess
import sys
from collections.abc import Mapping, Sequence
from hashlib import sha256
from pathlib import Path

from peers import free_ports

from oakbridge.agent.node_process import listener_pid
from oakbridge.control.client import ControlClient
from oakbridge.control.errors import NodeUnreachableError
from oakbridge.control.protocol import ControlCommand
from oakbridge.fleet import pki
from oakbridge.fleet.identity import Identity, IdentityKind, Role
from oakbridge.fleet.inventory import Inventory, write_inventory

ROOT = Path(__file__).parents[2]
OAKBRIDGE = (sys.executable, "-m", "oakbridge.cli")


def files_with_aim(aim: str) -> dict[str, str]:
    """Return the files of a configuration, which its aim identifies."""
    config = (
        '[servers]\nfile = "servers.toml"\n\n[[class]]\nname = "look"\n'
        f'aim = "{aim}"\ndeadline = "9s"\nrepeat = "safe"\n'
    )
    servers = '[[server]]\nname = "a"\naddress = "127.0.0.1:9"\n'
    return {"oakbridge.toml": config, "servers.toml": servers}


class ProcessFleet:
    """Hosts ``h0``, ``h1``, ...: one agent process each, all with the same instances.

    An instance is named ``h0/n0``.  ``configurations`` has the text of each ``oakbridge.toml`` that
    instances may run, by a name of the configuration.
    """

    def __init__(
        self,
        folder: Path,
        *,
        hosts: int,
        instances: Sequence[str],
        configurations: dict[str, str],
        operators: Sequence[str] = ("admin",),
        zones: int = 1,
        agent_environments: Mapping[str, Mapping[str, str]] | None = None,
    ) -> None:
        """Issue the certificates, write the inventory and start the agents.

        ``agent_environments`` has additional environment variables by agent.
        """
        self.folder = folder
        self._agent_environments = agent_environments or {}
        self.fleet_folder = folder / "fleet"
        self.environment = os.environ | {"PYTHONPATH": str(ROOT)}
        self.agents: dict[str, subprocess.Popen] = {}
        self.instance_ports: dict[str, int] = {}
        self._configuration_names = {
            sha256(text.encode()).hexdigest(): name for name, text in configurations.items()
        }
        pki.create_authority(self.fleet_folder, "f")
        for name in operators:
            identity = Identity("f", IdentityKind.OPERATOR, name, Role.WRITE)
            pki.issue_certificate(
                self.fleet_folder, identity, self.fleet_folder / "operators" / name
            )
        addresses = {f"h{i}": ("127.0.0.1", port) for i, port in enumerate(free_ports(hosts))}
        write_inventory(self.fleet_folder, Inventory("f", addresses))
        for number, (agent, (_, port)) in enumerate(addresses.items()):
            self._configure(agent, port, instances, f"z{number % zones}")
            self.start_agent(agent)

    def _configure(self, agent: str, port: int, instances: Sequence[str], zone: str) -> None:
        identity = Identity("f", IdentityKind.AGENT, agent, Role.READ)
        pki.issue_certificate(self.fleet_folder, identity, self.fleet_folder / "agents" / agent)
        lines = [
            f'name = "{agent}"',
            'fleet = "f"',
            f'listen = "127.0.0.1:{port}"',
            f'state = "{agent}"',
            f'zone = "{zone}"',
            'authority = "fleet/ca.crt"',
            f'certificate = "fleet/agents/{agent}"',
        ]
        for instance, instance_port in zip(instances, free_ports(len(instances)), strict=True):
            self.instance_ports[f"{agent}/{instance}"] = instance_port
            lines += [
                "[[instance]]",
                f'name = "{instance}"',
                f'listen = ["127.0.0.1:{instance_port}"]',
            ]
        (self.folder / f"{agent}.toml").write_text("\n".join(lines) + "\n")

    def start_agent(self, agent: str) -> None:
        """Start an agent, for the first time or after its process exited."""
        environment = self.environment | self._agent_environments.get(agent, {})
        command = [*OAKBRIDGE, "agent", "--config", str(self.folder / f"{agent}.toml")]
        with (self.folder / f"{agent}.log").open("ab") as log:
            self.agents[agent] = subprocess.Popen(command, env=environment, stdout=log, stderr=log)

    def write_files(self, name: str, files: dict[str, str]) -> str:
        """Write the files of a change to a folder of this name; return its path."""
        folder = self.folder / f"change-{name}"
        folder.mkdir(exist_ok=True)
        for file_name, text in files.items():
            (folder / file_name).write_text(text)
        return str(folder)

    def running_configuration(self, instance: str) -> str:
        """Return the name of the configuration that a node's process reports, or "silent"."""
        try:
            with ControlClient(self.control_socket(instance)) as client:
                return self._configuration_names[
                    client.request(ControlCommand.STATUS, rows=0)["config_digest"]
                ]
        except NodeUnreachableError:
            return "silent"

    def running_configurations(self) -> dict[str, str]:
        """Return the name of the configuration that each instance runs."""
        return {name: self.running_configuration(name) for name in self.instance_ports}

    def control_socket(self, instance: str) -> Path:
        """Return the path of a node's control socket."""
        agent, _, name = instance.partition("/")
        return self.folder / agent / f"{name}.sock"

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to an agent (``h1``) or to a node (``h1/n1``), if it runs."""
        is_node = "/" in name
        pid = listener_pid(self.control_socket(name)) if is_node else self.agents[name].pid
        if pid is not None:
            os.kill(pid, number)

    def close(self) -> None:
        """Kill every process."""
        for agent in self.agents.values():
            agent.kill()
            agent.wait()
        for instance in self.instance_ports:
            self.send_signal(instance, signal.SIGCONT)
            self.send_signal(instance, signal.SIGKILL)
