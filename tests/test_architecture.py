"""The architecture page names only files and folders that exist."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PAGE = (ROOT / "docs/architecture.md").read_text()
NAMED = sorted(set(re.findall(r"`((?:oakbridge/)?[a-z_]+/[a-z_/]*(?:\.py)?)`", PAGE)))


@pytest.mark.parametrize("name", NAMED)
def test_each_path_on_the_page_exists(name):
    path = ROOT / name if (ROOT / name).exists() else ROOT / "oakbridge" / name
    assert path.exists()


def test_the_page_names_paths():
    assert len(NAMED) > 40
