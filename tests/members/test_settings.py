"""Settings of ``[peers]``: the member's options, and error messages."""

from dataclasses import replace

import pytest

from oakbridge.cli.serve import ServeOptions
from oakbridge.config.errors import ConfigFileError
from oakbridge.config.load import load
from oakbridge.config.peers import peers_options

BASE = """[node]
zone = "z"
[servers]
inline = [{name = "s", address = "127.0.0.1:1"}]
[[class]]
name = "c"
aim = "1s"
deadline = "1s"
[peers]
listen = "127.0.0.1:2"
secret_file = "secret"
"""


@pytest.mark.parametrize(
    ("extra", "secret", "message"),
    [
        ("", "short", "expected a secret of 16 to 4096 bytes, got 5"),
        ("", None, "expected the members' secret: No such file"),
        ('seeds = ["here"]\n', "s" * 16, "peers.seeds"),
        ('period = "300ms"\n', "s" * 16, "probe_timeout: expected at most half of the period"),
        ("most = 1\n", "s" * 16, "expected a number of at least 2"),
    ],
)
def test_invalid_settings_are_reported(tmp_path, extra, secret, message):
    if secret is not None:
        (tmp_path / "secret").write_text(secret)
    (tmp_path / "o.toml").write_text(BASE + extra)
    with pytest.raises(ConfigFileError, match=message.replace("(", r"\(")):
        peers_options(load(tmp_path / "o.toml"))


def test_the_site_defaults_to_the_zone(tmp_path):
    (tmp_path / "secret").write_text("s" * 16 + "\n")
    (tmp_path / "o.toml").write_text(BASE + "capacity = 40.0\n")
    options = peers_options(load(tmp_path / "o.toml"))
    assert options.secret == b"s" * 16
    assert (options.tags["site"], options.tags["capacity"]) == ("z", "40")
    assert "s" * 16 not in repr(options)


def test_several_members_share_one_file(tmp_path):
    (tmp_path / "s").write_text("0123456789abcdef")
    (tmp_path / "o.toml").write_text(
        '[servers]\nfile = "s.toml"\n[[class]]\nname = "a"\naim = "1s"\ndeadline = "2s"\n'
        '[peers]\nlisten = "127.0.0.1:7946"\nsecret_file = "s"\n'
    )
    serve_options = ServeOptions(
        tmp_path / "o.toml", "n", (), None, member=("h1/n", "127.0.0.9:7946")
    )
    options = peers_options(serve_options.load())
    assert (options.name, options.listen) == ("h1/n", ("127.0.0.9", 7946))
    with pytest.raises(ConfigFileError, match="1 to 64 characters"):
        peers_options(replace(serve_options, member=("h" * 65, "127.0.0.9:7946")).load())
