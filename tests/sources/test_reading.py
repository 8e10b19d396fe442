"""Reading the files of one version from the disk."""

import os

import pytest
from watched_source import server_tables

from oakbridge.sources.errors import ReadError
from oakbridge.sources.reading import list_files, read_regular_file


def test_hidden_and_backup_files_of_a_directory_are_ignored(tmp_path):
    (tmp_path / "a.toml").write_text(server_tables("a"))
    (tmp_path / ".b.toml").write_text("half")
    (tmp_path / "#c.toml").write_text("half")
    (tmp_path / "d.toml~").write_text("half")
    assert [path.name for path in list_files(tmp_path, is_directory=True)] == ["a.toml"]


def test_reading_never_blocks_on_a_fifo(tmp_path):
    os.mkfifo(tmp_path / "pipe")
    with pytest.raises(ReadError, match="regular file"):
        read_regular_file(tmp_path / "pipe")
