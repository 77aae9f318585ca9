"""Declared configurations: validation, and which one is in force."""

import math
import unittest

from returns.result import Success

from wasabigw.codec.compressed_text import compress_text, decompress_text
from wasabigw.core.apply import apply
from wasabigw.core.cluster import (
    ClusterState,
    DeclaredDocument,
    Endpoint,
    FailureDomain,
)
from wasabigw.core.commands import (
    BringFailureDomainBack,
    DeclareConfiguration,
    Order,
    OrderedChange,
    TakeFailureDomainOut,
)
from wasabigw.core.declaration import (
    Declaration,
    DeclaredService,
    Listener,
    ServiceShare,
    declaration_problems,
)
from wasabigw.core.ids import (
    CompressedText,
    FailureDomainId,
    RegionId,
    Revision,
    Seconds,
    ServiceId,
)
from wasabigw.core.orders import is_in_effect
from wasabigw.core.requirements import Priority, Requirements

SEATS = ServiceId("seats")
RECIFE = FailureDomainId("recife")


def listener(
    port: int = 443,
    service: ServiceId = SEATS,
    weight: int = 1,
    timeout: float = 3.0,
    address: str = "198.18.0.1",
    requirements: Requirements | None = None,
) -> Listener:
    """A listener that sends its flows to one service."""
    shares = (ServiceShare(service, weight),)
    return Listener(Endpoint(address, port), shares, Seconds(timeout), requirements)


def needs(priority: int, objective: float) -> Requirements:
    """Requirements of callers."""
    return Requirements(Priority(priority), Seconds(objective))


def declaration(*listeners: Listener, version: int = 1) -> Declaration:
    """A declaration of one service."""
    return Declaration(version, listeners, (DeclaredService(SEATS),))


class Problems(unittest.TestCase):
    """Guards against an invalid configuration that is put into force."""

    def test_a_valid_declaration_has_no_problems(self) -> None:
        valid = declaration(listener(443), listener(80))
        self.assertEqual(declaration_problems(valid), ())

    def test_each_problem_is_reported(self) -> None:
        cases = {
            "not declared": declaration(listener(service=ServiceId("other"))),
            "2 listeners use 198.18.0.1:443": declaration(listener(), listener()),
            "request timeout": declaration(listener(timeout=0.0)),
            "negative weight": declaration(listener(weight=-1)),
            "no service": declaration(listener(weight=0)),
            "not an IPv4 address": declaration(listener(address="example")),
            "version -1": declaration(version=-1),
            "has priority 10": declaration(listener(requirements=needs(10, 0.2))),
            "has priority -1": declaration(listener(requirements=needs(-1, 0.2))),
            "objective above 0 s": declaration(listener(requirements=needs(0, 0.0))),
            "not infinite": declaration(listener(requirements=needs(0, math.inf))),
        }
        for text, wrong in cases.items():
            with self.subTest(text=text):
                problems = declaration_problems(wrong)
                self.assertEqual(len(problems), 1, problems)
                self.assertIn(text, problems[0])

    def test_a_service_that_is_declared_twice_is_a_problem(self) -> None:
        twice = Declaration(1, (), (DeclaredService(SEATS), DeclaredService(SEATS)))
        self.assertIn("2 times", declaration_problems(twice)[0])


class Orders(unittest.TestCase):
    """Guards against an older configuration in force, and against repeated orders."""

    def setUp(self) -> None:
        domain = FailureDomain(RECIFE, RegionId("nordeste"))
        self.cluster = ClusterState(failure_domains={RECIFE: domain})

    def order(self, change: OrderedChange) -> None:
        revision = Revision(self.cluster.revision + 1)
        outcome = apply(Order(change), revision, self.cluster)
        self.assertIsInstance(outcome, Success)

    def declare(self, version: int, text: str) -> None:
        document = DeclaredDocument(version, CompressedText(text))
        self.order(DeclareConfiguration(document))

    def test_only_a_higher_version_takes_effect(self) -> None:
        self.declare(5, "first")
        for version, text in ((4, "older"), (5, "other content")):
            self.declare(version, text)
            self.assertEqual(self.cluster.declared, DeclaredDocument(5, "first"))  # type: ignore[arg-type]
        self.declare(9, "newer")
        assert self.cluster.declared is not None
        self.assertEqual(self.cluster.declared.version, 9)

    def test_an_order_in_effect_is_recognised(self) -> None:
        out, back = TakeFailureDomainOut(RECIFE), BringFailureDomainBack(RECIFE)
        declared = DeclareConfiguration(DeclaredDocument(3, CompressedText("")))
        for change in (out, back, declared):
            with self.subTest(change=change):
                self.order(back if change is out else out)
                self.assertFalse(is_in_effect(change, self.cluster))
                self.order(change)
                self.assertTrue(is_in_effect(change, self.cluster))


class CompressedTexts(unittest.TestCase):
    """Guards against documents that are returned with changes."""

    def test_a_text_is_restored_unchanged(self) -> None:
        text = '{"name": "inscrição", "routes": [1, 2]}\n' * 100
        self.assertEqual(decompress_text(compress_text(text)), Success(text))

    def test_damaged_text_gives_an_error_and_no_exception(self) -> None:
        for wrong in ("", "not base64!", "AAAA", compress_text("text")[:-8]):
            with self.subTest(text=wrong):
                damaged = decompress_text(CompressedText(wrong))
                self.assertIn("damaged", damaged.failure())


if __name__ == "__main__":
    unittest.main()
