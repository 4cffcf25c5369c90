"""Applies accepted documents: the configuration with its policies, and the plans.

`DocumentsInForce` owns the topology, the loaded policies and their labels. It relies on
`DocumentReplica` to offer only newer documents, and hands a configuration to the admissions and a
plan to `SharesInForce`. A document that cannot be used changes nothing and is logged with its key
and problem.
"""

from typing import Optional

import msgspec

from .._hash import hash32
from ..config.configuration import Document
from ..config.loading import decode_document
from ..errors import ConfigurationError, PolicyError
from ..steering.policy import Policy, ProgramPolicy, shipped_policies
from .metrics import Label
from .own_entry import LineLog
from .planning.shares_in_force import Plan, SharesInForce
from .planning.topology import Topology
from .requests.admissions import HallAdmissions
from .store.documents import CONFIGURATION_KEY, PLAN_PREFIX, Revisioned


class DocumentsInForce:
    """The configuration and the policies that this VM currently applies.

    Args:
        admissions: Admissions of this VM's data hall.
        shares_in_force: Receives the plans.
        log: Called with a line for each configuration in force and each rejected document.

    Attributes:
        topology: Configuration in force; None before the first one is applied.
        policies: Loaded policies by name.
    """

    def __init__(
        self, admissions: HallAdmissions, shares_in_force: SharesInForce, log: LineLog
    ) -> None:
        self.admissions = admissions
        self.shares_in_force = shares_in_force
        self.log = log
        self.topology: Optional[Topology] = None
        self.policies: dict[str, Policy] = {}
        self._policy_labels: dict[str, str] = {}

    def accept(self, document: Revisioned) -> bool:
        """Apply a document; return False when it cannot be used."""
        try:
            if document.key == CONFIGURATION_KEY:
                self._apply(decode_document(document.value), document.revision)
            elif document.key.startswith(PLAN_PREFIX):
                self.shares_in_force.set_plan(msgspec.json.decode(document.value, type=Plan))
            else:
                return False
        except (ConfigurationError, PolicyError, msgspec.MsgspecError) as error:
            self.log(f"event=rejected key={document.key} problem={str(error)!r}")
            return False
        return True

    def _apply(self, document: Document, revision: int) -> None:
        if document.revision != revision:
            raise ConfigurationError(
                f"stored configuration says revision {document.revision}, its envelope {revision}",
                "apply the configuration again",
            )
        sources = {**shipped_policies(), **{p.name: p.source for p in document.policies}}
        policies = {name: ProgramPolicy(name, source) for name, source in sources.items()}
        topology = Topology(document)
        self.policies = policies
        self._policy_labels = {
            name: _policy_label(service.policy, sources)
            for name, service in topology.services.items()
        }
        self.topology = topology
        self.admissions.apply(topology)
        self.log(f"event=in-force revision={revision}")

    def label(self, service: str) -> Label:
        """Return the label of a service's metrics; all unknown services share one."""
        policy = self._policy_labels.get(service)
        if policy is None:
            return Label("unknown", self.admissions.hall, "none")
        return Label(service, self.admissions.hall, policy)


def _policy_label(name: str, sources: dict[str, str]) -> str:
    """Return a policy's name with a digest of its program, which changes only with the program."""
    return f"{name}@{hash32(sources.get(name, '')):08x}"
