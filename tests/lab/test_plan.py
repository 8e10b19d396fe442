"""Mistakes in the plan file of a run."""

import pytest

from oakbridge.config.errors import ConfigFileError
from oakbridge.lab.plan import load_plan


@pytest.mark.parametrize(
    ("more", "told"),
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
def test_mistakes_in_a_plan_are_named_with_their_line(tmp_path, plan_text, more, told):
    path = tmp_path / "plan.toml"
    path.write_text(plan_text + more)
    with pytest.raises(ConfigFileError, match=told) as bad:
        load_plan(path)
    assert str(bad.value).startswith(f"{path}:")
