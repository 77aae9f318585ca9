"""Context manager that starts and stops several parts together."""

from abc import ABC, abstractmethod
from contextlib import AbstractContextManager, ExitStack
from types import TracebackType
from typing import Self


class CompositeContext(AbstractContextManager["CompositeContext"], ABC):
    """Enters the contexts of its parts in order and exits them in reverse order.

    If a part fails to start, those that have been entered are exited.
    """

    def __init__(self) -> None:
        self._parts = ExitStack()

    @abstractmethod
    def _start(self, stack: ExitStack) -> None:
        """Enter the contexts of all parts on ``stack``."""

    def __enter__(self) -> Self:
        """Start all parts.

        :raises OSError: if an endpoint of the settings can't be bound.
        """
        with ExitStack() as stack:
            self._start(stack)
            self._parts = stack.pop_all()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._parts.__exit__(exc_type, exc_value, traceback)
