"""Checks that all files and folders named on the architecture page exist."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PAGE = (ROOT / "docs/architecture.md").read_text()
NAMED_PATHS = sorted(set(re.findall(r"`((?:oakbridge/)?[a-z_]+/[a-z_/]*(?:\.py)?)`", PAGE)))


@pytest.mark.parametrize("name", NAMED_PATHS)
def test_each_path_on_the_architecture_page_exists(name):
    path = ROOT / name if (ROOT / name).exists() else ROOT / "oakbridge" / name
    assert path.exists()


def test_architecture_page_names_paths():
    assert len(NAMED_PATHS) > 40
