"""Typed errors for the interfaces of the system; each message names its remedy.

The module owns the error classes and the exit status that the command line returns for each. The
operators' port answers with the name of a class and the command line raises that class again, so
the names are part of the interface. Decisions inside the core use typed results instead.
"""


class SprucewinchError(Exception):
    """Base of all errors shown to operators.

    Args:
        problem: What is wrong, on one line.
        remedy: What to do about it, on one line.
    """

    exit_code = 1

    def __init__(self, problem: str, remedy: str) -> None:
        self.problem = problem
        self.remedy = remedy
        super().__init__(f"{problem}; {remedy}")


class SettingsError(SprucewinchError):
    """The daemon's settings file cannot be used."""

    exit_code = 2


class ConfigurationError(SprucewinchError):
    """A configuration is malformed or contradicts itself."""

    exit_code = 2


class LogError(SprucewinchError):
    """A log cannot be read, or has no line about the requested request id."""

    exit_code = 2


class QuarantineError(SprucewinchError):
    """No quarantined request has the fingerprint that an operator gave."""

    exit_code = 2


class PolicyError(SprucewinchError):
    """A policy program is refused, or failed while it ran."""

    exit_code = 2


class ConflictError(SprucewinchError):
    """Another operator changed the configuration first."""

    exit_code = 3


class StaleStoreError(SprucewinchError):
    """The platform shows an older configuration than the one in force."""

    exit_code = 3


class PlatformError(SprucewinchError):
    """The platform's service does not answer, or refuses the call.

    Args:
        problem: What is wrong.
        remedy: What to do.
        retry_after_s: Time after which the call may be repeated, in seconds; 0 when the platform
            gave none.
    """

    exit_code = 4

    def __init__(self, problem: str, remedy: str, retry_after_s: float = 0.0) -> None:
        super().__init__(problem, remedy)
        self.retry_after_s = retry_after_s


class WriteUnknownError(PlatformError):
    """A write was sent and its answer was lost; the write may have taken effect."""

    exit_code = 5


class DaemonError(SprucewinchError):
    """The command line cannot reach a daemon, or the daemon refuses the call."""

    exit_code = 4
