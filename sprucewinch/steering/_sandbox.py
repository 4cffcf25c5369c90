"""Bounds for policy programs: what may be written, and how much may be run.

Owns the language of policies: the statements that are refused, the operations, methods and
functions that a program has, and the `Meter` that counts every loop step, call and operation.
Relies on RestrictedPython to refuse names, attributes and statements that reach out of a program.
Memory and time are bounded by the count, since no value can grow without it: numbers stay floating
point, text is never built, and containers grow one counted element at a time.
"""

import ast
import math
from collections.abc import Callable, Iterable, Iterator, Sized
from typing import Any, NamedTuple

from RestrictedPython import RestrictingNodeTransformer, compile_restricted_exec

MAX_SOURCE = 16_384
"""Longest program, in characters."""

MAX_DISPLAY = 64
"""Most elements written out in one list, tuple or dictionary; writing them is not counted."""

_MAX_NUMBER = 2.0**53
"""Largest number in a program: up to it, every whole number has an exact double."""


class StepLimitError(Exception):
    """A program took more steps than it may."""


class _BoundedTransformer(RestrictingNodeTransformer):
    """Refuses statements whose cost is not counted and rewrites the others to be counted."""

    def _refuse(self, node: ast.AST) -> ast.AST:
        self.error(node, f"{type(node).__name__} is not allowed in a policy")
        return node

    visit_While = visit_Lambda = visit_ClassDef = visit_Try = visit_TryStar = _refuse
    visit_With = visit_Import = visit_ImportFrom = visit_Global = visit_Nonlocal = _refuse
    visit_JoinedStr = visit_FormattedValue = visit_Starred = visit_Slice = _refuse
    visit_Yield = visit_YieldFrom = visit_Raise = visit_Delete = visit_NamedExpr = _refuse
    visit_Assert = visit_Pow = visit_LShift = visit_RShift = visit_MatMult = _refuse
    visit_BitAnd = visit_BitOr = visit_BitXor = visit_Invert = visit_GeneratorExp = _refuse
    visit_AsyncFunctionDef = visit_Await = visit_AsyncFor = visit_AsyncWith = _refuse
    visit_Set = visit_SetComp = _refuse

    def _visit_display(self, node: ast.List | ast.Tuple) -> ast.AST:
        if len(node.elts) > MAX_DISPLAY:
            self.error(node, f"more than {MAX_DISPLAY} elements in one place")
        return self.node_contents_visit(node)

    visit_List = visit_Tuple = _visit_display

    def visit_Dict(self, node: ast.Dict) -> ast.AST:  # noqa: N802 - named by the ast module
        """Check the size of a dictionary that is written out."""
        if len(node.keys) > MAX_DISPLAY or None in node.keys:
            self.error(node, f"a dictionary of over {MAX_DISPLAY} keys, or one that is unpacked")
            return node
        node = self.node_contents_visit(node)
        node.keys = [self._counted("_key_", key, None, key) for key in node.keys]
        return node

    def visit_DictComp(self, node: ast.DictComp) -> ast.AST:  # noqa: N802
        """Check the keys that a comprehension makes."""
        node = super().visit_DictComp(node)
        node.key = self._counted("_key_", node.key, None, node.key)
        return node

    def visit_Subscript(self, node: ast.Subscript) -> ast.AST:  # noqa: N802
        """Check the key under which an element is stored."""
        storing = isinstance(node.ctx, ast.Store)
        node = super().visit_Subscript(node)
        if storing:
            node.slice = self._counted("_key_", node.slice, None, node.slice)
        return node

    def visit_Compare(self, node: ast.Compare) -> ast.AST:  # noqa: N802
        """Rewrite a comparison into a counted call."""
        if len(node.ops) > 1:
            self.error(node, "write a chained comparison as two, joined by 'and'")
            return node
        name = type(node.ops[0]).__name__
        node = self.node_contents_visit(node)
        return self._counted("_compare_", node, name, node.left, node.comparators[0])

    def visit_Constant(self, node: ast.Constant) -> ast.AST:  # noqa: N802
        """Refuse numbers that no double holds exactly, and values other than numbers and text."""
        value = node.value
        numeric = isinstance(value, int | float) and not isinstance(value, bool)
        if numeric and not abs(value) <= _MAX_NUMBER:
            self.error(node, "the number is too large")
        if isinstance(value, bytes | complex):
            self.error(node, "only numbers, text, True, False and None may be written")
        return super().visit_Constant(node)

    def visit_BinOp(self, node: ast.BinOp) -> ast.AST:  # noqa: N802
        """Rewrite an operation into a counted call."""
        name = type(node.op).__name__
        if name not in _OPERATIONS:
            return self._refuse(node.op)
        node = self.node_contents_visit(node)
        return self._counted("_binary_", node, name, node.left, node.right)

    def visit_Call(self, node: ast.Call) -> ast.AST:  # noqa: N802
        """Rewrite a call into a counted call."""
        node = super().visit_Call(node)
        counted = self._counted("_call_", node, None, node.func, *node.args)
        counted.keywords = node.keywords
        return counted

    def visit_FunctionDef(self, node: ast.FunctionDef) -> ast.AST:  # noqa: N802
        """Refuse decorators; the rest is as in ordinary functions."""
        if node.decorator_list:
            self.error(node, "decorators are not allowed in a policy")
        return super().visit_FunctionDef(node)

    def _counted(self, name: str, node: ast.AST, text: str | None, *args: ast.AST) -> ast.Call:
        leading = [ast.Constant(text)] if text is not None else []
        call = ast.Call(ast.Name(name, ast.Load()), [*leading, *args], [])
        return ast.fix_missing_locations(ast.copy_location(call, node))


_OPERATIONS: dict[str, Callable[[float, float], float]] = {
    "Add": lambda a, b: a + b,
    "Sub": lambda a, b: a - b,
    "Mult": lambda a, b: a * b,
    "Div": lambda a, b: a / b,
    "FloorDiv": lambda a, b: a // b,
    "Mod": lambda a, b: a % b,
}

_COMPARISONS: dict[str, Callable[[Any, Any], bool]] = {
    "Eq": lambda a, b: a == b,
    "NotEq": lambda a, b: a != b,
    "Lt": lambda a, b: a < b,
    "LtE": lambda a, b: a <= b,
    "Gt": lambda a, b: a > b,
    "GtE": lambda a, b: a >= b,
    "Is": lambda a, b: a is b,
    "IsNot": lambda a, b: a is not b,
}

_IN_PLACE = {"+=": "Add", "-=": "Sub", "*=": "Mult", "/=": "Div", "//=": "FloorDiv"}
"""Operations of augmented assignments, by symbol."""

_MAX_RANGE = 10_000
"""Longest range, in elements: half of a run's steps."""

_METHODS = {dict: ("get", "items", "keys", "values"), list: ("append",)}


class Meter:
    """Counts the steps of one run and checks every value that could grow.

    Args:
        limit: Most steps of the run.
    """

    __slots__ = ("left",)

    def __init__(self, limit: int) -> None:
        self.left = limit

    def charge(self, steps: int = 1) -> None:
        """Count steps.

        Raises:
            StepLimitError: When none are left.
        """
        self.left -= steps
        if self.left < 0:
            raise StepLimitError

    def iterate(self, values: Any) -> Iterator[Any]:
        """Yield values and count each.

        Raises:
            StepLimitError: When no steps are left.
        """
        for value in values:
            self.charge()
            yield value

    def unpack(self, values: Any, spec: Any, _getiter: Any) -> list[Any]:
        """Check a tuple assignment; values are short by construction."""
        items = list(self.iterate(values))
        if len(items) != spec["min_len"]:
            raise ValueError("the number of names and values differs")
        return items

    def unpack_each(self, values: Any, spec: Any, getiter: Any) -> Iterator[list[Any]]:
        """Check the tuples that a loop assigns."""
        for item in self.iterate(values):
            yield self.unpack(item, spec, getiter)

    def binary(self, name: str, left: Any, right: Any) -> float:
        """Apply an operation to two numbers."""
        self.charge()
        result = _OPERATIONS[name](_number(left), _number(right))
        if math.isinf(result):
            raise OverflowError("a number grew too large")
        return result

    def in_place(self, symbol: str, left: Any, right: Any) -> float:
        """Apply an augmented assignment to two numbers."""
        if symbol not in _IN_PLACE:
            raise TypeError(f"{symbol} is not allowed in a policy")
        return self.binary(_IN_PLACE[symbol], left, right)

    def key(self, value: Any) -> Any:
        """Check a dictionary key or list index: a single value, cheap to hash."""
        self.charge()
        return _single(value)

    def compare(self, name: str, left: Any, right: Any) -> bool:
        """Compare two single values, or look one up in a container."""
        self.charge()
        if name in ("In", "NotIn"):
            found = self._contains(right, _single(left))
            return found if name == "In" else not found
        return _COMPARISONS[name](_single(left), _single(right))

    def _contains(self, container: Any, value: Any) -> bool:
        if isinstance(container, dict):
            return value in container
        if not isinstance(container, list | tuple):
            raise TypeError("'in' looks into a dictionary, list or tuple")
        self.charge(len(container))
        return any(value == item for item in container if isinstance(item, _SINGLE))

    def call(self, function: Any, *args: Any, **keywords: Any) -> Any:
        """Call a function, counting the elements it reads."""
        self.charge(1 + sum(len(a) for a in args if isinstance(a, Sized)))
        return function(*args, **keywords)

    def attribute(self, value: Any, name: str) -> Any:
        """Return one of the few methods that a policy may call."""
        if name not in _METHODS.get(type(value), ()):
            raise TypeError(f"{type(value).__name__} has no {name} in a policy")
        if name == "get":
            return lambda key, default=None: value.get(self.key(key), default)
        return getattr(value, name)

    def item(self, value: Any, key: Any) -> Any:
        """Return one element."""
        key = self.key(key)
        if not isinstance(value, dict | list | tuple):
            raise TypeError(f"{type(value).__name__} cannot be indexed in a policy")
        return value[int(key)] if isinstance(key, float) else value[key]

    def write(self, value: Any) -> Any:
        """Allow assignment to an element of a dictionary or list."""
        self.charge()
        if not isinstance(value, dict | list):
            raise TypeError(f"{type(value).__name__} cannot be changed in a policy")
        return value

    def namespace(self) -> dict[str, Any]:
        """Return the names that a program sees; those in underscores serve rewritten code."""
        return {
            "__builtins__": dict(_BUILTINS),
            "_getiter_": self.iterate,
            "_getattr_": self.attribute,
            "_getitem_": self.item,
            "_write_": self.write,
            "_inplacevar_": self.in_place,
            "_iter_unpack_sequence_": self.unpack_each,
            "_unpack_sequence_": self.unpack,
            "_binary_": self.binary,
            "_call_": self.call,
            "_compare_": self.compare,
            "_key_": self.key,
        }


_SINGLE = (int, float, str, bool, type(None))


def _single(value: Any) -> Any:
    if not isinstance(value, _SINGLE):
        raise TypeError(f"{type(value).__name__} stands where one number or text is needed")
    return value


def _flat(value: Any) -> Any:
    if isinstance(value, tuple):
        return tuple(_single(part) for part in value)
    return _single(value)


def _ordered(values: tuple[Any, ...]) -> Iterable[Any]:
    if len(values) == 1 and not isinstance(values[0], _SINGLE):
        return (_flat(value) for value in values[0])
    return (_flat(value) for value in values)


def _bounded_range(count: Any) -> range:
    if not 0 <= _number(count) <= _MAX_RANGE:
        raise ValueError(f"range takes a number from 0 to {_MAX_RANGE}")
    return range(int(count))


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{type(value).__name__} is no number; a policy calculates with numbers")
    return float(value)


_BUILTINS: dict[str, Callable[..., Any]] = {
    "abs": abs,
    "all": all,
    "any": any,
    "bool": bool,
    "enumerate": lambda values: list(enumerate(values)),
    "float": lambda value: float(_number(value)),
    "len": len,
    "max": lambda *values: max(_ordered(values)),
    "min": lambda *values: min(_ordered(values)),
    "range": _bounded_range,
    "round": lambda value: float(round(_number(value))),
    "sorted": lambda values: sorted(_flat(value) for value in values),
    "sum": lambda values: float(sum(_number(value) for value in values)),
}
"""Functions that a program may call; `Meter.call` counts the elements that they read."""


class Compiled(NamedTuple):
    """A program after compilation.

    Args:
        code: What `exec` takes; None when there are faults.
        faults: What is wrong with the program, one line each.
    """

    code: Any
    faults: tuple[str, ...]


def compile_bounded(source: str, name: str) -> Compiled:
    """Compile a program.

    Args:
        source: Text of the program.
        name: Name for messages.

    Returns:
        The code, or the faults found.
    """
    if len(source) > MAX_SOURCE:
        return Compiled(None, (f"{len(source)} characters; at most {MAX_SOURCE} are allowed",))
    try:
        result = compile_restricted_exec(source, filename=name, policy=_BoundedTransformer)
    except (RecursionError, MemoryError, ValueError) as error:
        return Compiled(None, (f"cannot be compiled: {type(error).__name__}",))
    return Compiled(result.code, tuple(result.errors))
