"""The supervisor of one process: backoff, crash loops, stops, and starts that hang."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from oakbridge.process.supervisor import (
    FIRST_BACKOFF_US,
    MAX_BACKOFF_US,
    READY_TIMEOUT_US,
    SECOND_US,
    STABLE_RUN_US,
    STOP_TIMEOUT_US,
    Kill,
    SetTimer,
    Start,
    State,
    Stop,
    Supervisor,
)


def types_without_timers(actions) -> list[type]:
    return [type(action) for action in actions if not isinstance(action, SetTimer)]


def running_supervisor(now: int = 0) -> Supervisor:
    supervisor = Supervisor()
    assert types_without_timers(supervisor.start(now)) == [Start]
    supervisor.ready(now)
    return supervisor


def test_process_that_crashed_is_restarted_with_growing_backoff():
    supervisor, now, delays = running_supervisor(), 0, []
    for _ in range(4):
        [timer] = supervisor.exited(now, "exit 1")
        delays.append(timer.at - now)
        assert supervisor.tick(timer.at - 1) == []
        now = timer.at
        assert types_without_timers(supervisor.tick(now)) == [Start]
    assert delays == [
        FIRST_BACKOFF_US,
        2 * FIRST_BACKOFF_US,
        4 * FIRST_BACKOFF_US,
        8 * FIRST_BACKOFF_US,
    ]
    assert not supervisor.is_crash_looping


def test_five_crashes_within_a_minute_are_a_crash_loop_and_fewer_are_not():
    supervisor, now = running_supervisor(), 0
    for crash_count in range(5):
        assert supervisor.is_crash_looping is False, crash_count
        [timer] = supervisor.exited(now, "exit 1")
        now = timer.at
        supervisor.tick(now)
    assert supervisor.is_crash_looping
    assert supervisor.backoff_us() <= MAX_BACKOFF_US
    supervisor.ready(now)
    supervisor.tick(now + STABLE_RUN_US)
    assert not supervisor.is_crash_looping
    assert supervisor.total_crashes == 5


def test_long_enough_run_resets_backoff_and_counts_as_crash():
    """Guards against a backoff that keeps a worker down although each of its runs was long enough.

    A worker that is killed every second restarts after 0.2 s each time.  With a longer run required
    to reset the backoff, the backoff grows.
    """
    doubled = {FIRST_BACKOFF_US * factor for factor in (1, 2, 4, 8, 64)}
    for reset_after_us, expected in ((SECOND_US, {FIRST_BACKOFF_US}), (STABLE_RUN_US, doubled)):
        supervisor, now, backoffs = Supervisor(reset_after_us), 0, set()
        supervisor.start(now)
        for _ in range(20):
            supervisor.ready(now)
            supervisor.exited(now + SECOND_US, "signal 9")
            backoffs.add(supervisor.backoff_us())
            now += SECOND_US + supervisor.backoff_us()
            supervisor.tick(now)
        assert backoffs == expected
        assert supervisor.total_crashes == 20


def test_exit_after_stop_is_not_a_crash():
    supervisor = running_supervisor()
    assert types_without_timers(supervisor.stop(5)) == [Stop]
    assert supervisor.exited(6, "exit 0") == []
    assert (supervisor.state, supervisor.total_crashes) == (State.STOPPED, 0)


def test_process_that_does_not_exit_after_stop_is_killed():
    supervisor = running_supervisor()
    supervisor.stop(5)
    assert types_without_timers(supervisor.tick(5 + STOP_TIMEOUT_US - 1)) == []
    assert types_without_timers(supervisor.tick(5 + STOP_TIMEOUT_US)) == [Kill]
    supervisor.exited(5 + STOP_TIMEOUT_US + 1, "signal 9")
    assert supervisor.state is State.STOPPED


def test_process_that_hangs_at_start_is_killed_and_counts_as_crash():
    supervisor = Supervisor()
    supervisor.start(0)
    assert types_without_timers(supervisor.tick(READY_TIMEOUT_US)) == [Kill]
    supervisor.exited(READY_TIMEOUT_US + 1, "signal 9")
    assert (supervisor.state, supervisor.total_crashes) == (State.WAITING, 1)


def test_restart_starts_new_process_after_old_one_has_exited():
    supervisor = running_supervisor()
    assert types_without_timers(supervisor.restart(5)) == [Stop]
    assert types_without_timers(supervisor.restart(6)) == []
    assert types_without_timers(supervisor.exited(7, "exit 0")) == [Start]
    assert supervisor.total_crashes == 0


def test_stop_cancels_pending_start():
    supervisor = running_supervisor()
    supervisor.restart(5)
    supervisor.stop(6)
    assert supervisor.exited(7, "exit 0") == []
    assert supervisor.state is State.STOPPED
    supervisor = running_supervisor()
    supervisor.exited(1, "exit 1")
    assert supervisor.stop(2) == []
    assert supervisor.state is State.STOPPED
    assert supervisor.tick(10 * SECOND_US) == []


class RandomProcess(RuleBasedStateMachine):
    """A process that becomes ready and exits at random, with commands at random times."""

    def __init__(self) -> None:
        super().__init__()
        self.supervisor, self.now, self.is_alive, self.timer_at = Supervisor(), 0, False, None

    def perform(self, actions):
        for action in actions:
            if isinstance(action, Start):
                assert not self.is_alive, "two processes at the same time"
                self.is_alive = True
            elif isinstance(action, SetTimer):
                self.timer_at = action.at
            else:
                assert self.is_alive, "no process to stop or kill"

    @rule(command=st.sampled_from(["start", "stop", "restart"]))
    def command(self, command):
        self.perform(getattr(self.supervisor, command)(self.now))

    @precondition(lambda self: self.is_alive)
    @rule()
    def become_ready(self):
        self.perform(self.supervisor.ready(self.now))

    @precondition(lambda self: self.is_alive)
    @rule()
    def exit(self):
        self.is_alive = False
        self.perform(self.supervisor.exited(self.now, "exit"))

    @rule(seconds=st.integers(1, 40))
    def wait(self, seconds):
        self.now += seconds * SECOND_US
        if self.timer_at is not None and self.timer_at <= self.now:
            self.timer_at = None
            self.perform(self.supervisor.tick(self.now))

    @invariant()
    def state_matches_process(self):
        assert self.is_alive == (
            self.supervisor.state in (State.STARTING, State.RUNNING, State.STOPPING)
        )

    def teardown(self):
        """Check that the process finally runs if, and only if, it should."""
        for _ in range(6):
            if self.supervisor.state is State.STOPPING:
                self.exit()
            self.wait(40)
        assert self.is_alive == self.supervisor.should_run


RandomProcess.TestCase.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None, derandomize=True
)
TestProcess = RandomProcess.TestCase
