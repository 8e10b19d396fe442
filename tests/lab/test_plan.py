"""Errors in the plan file of a run."""

import pytest

from oakbridge.config.errors import ConfigFileError
from oakbridge.lab.plan import load_plan


@pytest.mark.parametrize(
    ("added_text", "message"),
    [
        ('[[fault]]\nat = "1s"\nkind = "flood"\n', "kind"),
        ('[[fault]]\nat = "1s"\nkind = "freeze"\n', "lasts: expected a time where kind is freeze"),
        ('[[fault]]\nat = "1s"\nkind = "cut"\nsite = "x"\n', "expected one of the sites, got 'x'"),
        ('[[fault]]\nat = "61s"\nkind = "kill"\n', "expected a time before the course's end"),
        ('[[fault]]\nat = "1s"\nkind = "cut"\none_way = true\n', "site: expected one where"),
        ('[[check]]\nname = "beauty"\nmost = 1.0\n', "expected one of"),
        ('[[check]]\nname = "served"\n', "exactly one of most and least"),
        ("[labs]\n", "labs: unknown key"),
    ],
)
def test_errors_in_a_plan_name_the_file_and_the_key(tmp_path, plan_text, added_text, message):
    path = tmp_path / "plan.toml"
    path.write_text(plan_text + added_text)
    with pytest.raises(ConfigFileError, match=message) as raised:
        load_plan(path)
    assert str(raised.value).startswith(f"{path}:")
