"""Bounds for policy programs: which language they may use, and how many steps they may run.

Owns the language of policies: the statements that are refused, the operations, methods and
functions that a program has, and the `StepCounter` that counts every loop step, call and operation.
Relies on RestrictedPython to refuse names, attributes and statements that reach out of a program.
The step count bounds memory and time as well, since no value can grow without it: numbers stay
floating point, text is never built, and containers grow one counted element at a time.
"""

import ast
import math
from collections.abc import Callable, Iterable, Iterator, Sized
from typing import Any, NamedTuple

from RestrictedPython import RestrictingNodeTransformer, compile_restricted_exec

MAX_SOURCE_CHARS = 16_384
"""Longest source text of a program."""

MAX_DISPLAY_ELEMENTS = 64
"""Most elements of one list, tuple or dictionary display; they are not counted as steps."""

_MAX_NUMBER = 2.0**53
"""Largest number in a program's text: a double holds every integer up to it exactly."""


class StepLimitError(Exception):
    """A program exceeded its limit of steps."""


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
        if len(node.elts) > MAX_DISPLAY_ELEMENTS:
            self.error(node, f"more than {MAX_DISPLAY_ELEMENTS} elements in one list or tuple")
        return self.node_contents_visit(node)

    visit_List = visit_Tuple = _visit_display

    def visit_Dict(self, node: ast.Dict) -> ast.AST:  # noqa: N802 - named by the ast module
        """Check the size of a dictionary display, and its keys when it runs."""
        if len(node.keys) > MAX_DISPLAY_ELEMENTS or None in node.keys:
            self.error(
                node, f"a dictionary of over {MAX_DISPLAY_ELEMENTS} keys, or one that is unpacked"
            )
            return node
        node = self.node_contents_visit(node)
        node.keys = [self._counted_call("_key_", key, None, key) for key in node.keys]
        return node

    def visit_DictComp(self, node: ast.DictComp) -> ast.AST:  # noqa: N802
        """Check the keys of a dictionary comprehension."""
        node = super().visit_DictComp(node)
        node.key = self._counted_call("_key_", node.key, None, node.key)
        return node

    def visit_Subscript(self, node: ast.Subscript) -> ast.AST:  # noqa: N802
        """Check the key under which an element is stored."""
        storing = isinstance(node.ctx, ast.Store)
        node = super().visit_Subscript(node)
        if storing:
            node.slice = self._counted_call("_key_", node.slice, None, node.slice)
        return node

    def visit_Compare(self, node: ast.Compare) -> ast.AST:  # noqa: N802
        """Rewrite a comparison to a counted call."""
        if len(node.ops) > 1:
            self.error(node, "a chained comparison is not allowed; write two, joined by 'and'")
            return node
        name = type(node.ops[0]).__name__
        node = self.node_contents_visit(node)
        return self._counted_call("_compare_", node, name, node.left, node.comparators[0])

    def visit_Constant(self, node: ast.Constant) -> ast.AST:  # noqa: N802
        """Refuse numbers above the bound, and values other than numbers, text and constants."""
        value = node.value
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if is_number and not abs(value) <= _MAX_NUMBER:
            self.error(node, "a number may not exceed 2**53 in a policy")
        if isinstance(value, bytes | complex):
            self.error(node, "only numbers, text, True, False and None may be written")
        return super().visit_Constant(node)

    def visit_BinOp(self, node: ast.BinOp) -> ast.AST:  # noqa: N802
        """Rewrite an operation to a counted call."""
        name = type(node.op).__name__
        if name not in _OPERATIONS:
            return self._refuse(node.op)
        node = self.node_contents_visit(node)
        return self._counted_call("_binary_", node, name, node.left, node.right)

    def visit_Call(self, node: ast.Call) -> ast.AST:  # noqa: N802
        """Rewrite a call to a counted call."""
        node = super().visit_Call(node)
        counted = self._counted_call("_call_", node, None, node.func, *node.args)
        counted.keywords = node.keywords
        return counted

    def visit_FunctionDef(self, node: ast.FunctionDef) -> ast.AST:  # noqa: N802
        """Refuse decorators; all else of a function definition is allowed."""
        if node.decorator_list:
            self.error(node, "decorators are not allowed in a policy")
        return super().visit_FunctionDef(node)

    def _counted_call(
        self, name: str, node: ast.AST, operation: str | None, *args: ast.AST
    ) -> ast.Call:
        """Return a call of a method of `StepCounter` by its name in the program's namespace."""
        leading = [ast.Constant(operation)] if operation is not None else []
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

_AUGMENTED_OPERATIONS = {"+=": "Add", "-=": "Sub", "*=": "Mult", "/=": "Div", "//=": "FloorDiv"}
"""Names of the operations of augmented assignments, by symbol."""

_MAX_RANGE_ELEMENTS = 10_000
"""Longest range: half of the steps of a run."""

_METHODS = {dict: ("get", "items", "keys", "values"), list: ("append",)}


class StepCounter:
    """Counts the steps of one run and checks each value that could grow.

    Its methods run in place of the operations of a program (`namespace`). Besides the step limit,
    they raise TypeError, ValueError or OverflowError for values that a policy may not use.

    Args:
        limit: Most steps of the run.
    """

    __slots__ = ("steps_left",)

    def __init__(self, limit: int) -> None:
        self.steps_left = limit

    def count(self, steps: int = 1) -> None:
        """Count steps.

        Raises:
            StepLimitError: When more were counted than the limit allows.
        """
        self.steps_left -= steps
        if self.steps_left < 0:
            raise StepLimitError

    def iterate(self, values: Any) -> Iterator[Any]:
        """Yield values and count each.

        Raises:
            StepLimitError: When no steps are left.
        """
        for value in values:
            self.count()
            yield value

    def unpack(self, values: Any, spec: Any, _getiter: Any) -> list[Any]:
        """Check a tuple assignment; each value counts as a step."""
        items = list(self.iterate(values))
        if len(items) != spec["min_len"]:
            raise ValueError("an assignment has different numbers of names and values")
        return items

    def unpack_each(self, values: Any, spec: Any, getiter: Any) -> Iterator[list[Any]]:
        """Check the tuples that a loop assigns."""
        for item in self.iterate(values):
            yield self.unpack(item, spec, getiter)

    def binary(self, name: str, left: Any, right: Any) -> float:
        """Apply an operation to two numbers."""
        self.count()
        result = _OPERATIONS[name](_require_number(left), _require_number(right))
        if math.isinf(result):
            raise OverflowError("the result of an operation exceeds the largest number")
        return result

    def in_place(self, symbol: str, left: Any, right: Any) -> float:
        """Apply an augmented assignment to two numbers."""
        if symbol not in _AUGMENTED_OPERATIONS:
            raise TypeError(f"{symbol} is not allowed in a policy")
        return self.binary(_AUGMENTED_OPERATIONS[symbol], left, right)

    def key(self, value: Any) -> Any:
        """Check a dictionary key or list index: a scalar, which is cheap to hash."""
        self.count()
        return _require_scalar(value)

    def compare(self, name: str, left: Any, right: Any) -> bool:
        """Compare two scalars, or look for one in a container."""
        self.count()
        if name in ("In", "NotIn"):
            found = self._contains(right, _require_scalar(left))
            return found if name == "In" else not found
        return _COMPARISONS[name](_require_scalar(left), _require_scalar(right))

    def _contains(self, container: Any, value: Any) -> bool:
        if isinstance(container, dict):
            return value in container
        if not isinstance(container, list | tuple):
            raise TypeError("'in' needs a dictionary, list or tuple on its right")
        self.count(len(container))
        return any(value == item for item in container if isinstance(item, _SCALARS))

    def call(self, function: Any, *args: Any, **keywords: Any) -> Any:
        """Call a function, and count the elements of its arguments, which it may read."""
        self.count(1 + sum(len(a) for a in args if isinstance(a, Sized)))
        return function(*args, **keywords)

    def attribute(self, value: Any, name: str) -> Any:
        """Return one of the few methods that a policy may call."""
        if name not in _METHODS.get(type(value), ()):
            raise TypeError(f"{type(value).__name__} has no {name} in a policy")
        if name == "get":
            return lambda key, default=None: value.get(self.key(key), default)
        return getattr(value, name)

    def item(self, value: Any, key: Any) -> Any:
        """Return an element of a dictionary, list or tuple."""
        key = self.key(key)
        if not isinstance(value, dict | list | tuple):
            raise TypeError(f"{type(value).__name__} cannot be indexed in a policy")
        return value[int(key)] if isinstance(key, float) else value[key]

    def write(self, value: Any) -> Any:
        """Return the dictionary or list that an assignment to an element changes."""
        self.count()
        if not isinstance(value, dict | list):
            raise TypeError(f"{type(value).__name__} cannot be changed in a policy")
        return value

    def namespace(self) -> dict[str, Any]:
        """Return the names that a program may use.

        Those that begin and end with underscores are called by the rewritten code.
        """
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


_SCALARS = (int, float, str, bool, type(None))


def _require_scalar(value: Any) -> Any:
    if not isinstance(value, _SCALARS):
        raise TypeError(f"{type(value).__name__} found where one number or text is expected")
    return value


def _require_flat(value: Any) -> Any:
    if isinstance(value, tuple):
        return tuple(_require_scalar(part) for part in value)
    return _require_scalar(value)


def _comparable_values(values: tuple[Any, ...]) -> Iterable[Any]:
    if len(values) == 1 and not isinstance(values[0], _SCALARS):
        return (_require_flat(value) for value in values[0])
    return (_require_flat(value) for value in values)


def _bounded_range(count: Any) -> range:
    if not 0 <= _require_number(count) <= _MAX_RANGE_ELEMENTS:
        raise ValueError(f"range needs a number from 0 to {_MAX_RANGE_ELEMENTS}")
    return range(int(count))


def _require_number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{type(value).__name__} found where a number is expected")
    return float(value)


_BUILTINS: dict[str, Callable[..., Any]] = {
    "abs": abs,
    "all": all,
    "any": any,
    "bool": bool,
    "enumerate": lambda values: list(enumerate(values)),
    "float": lambda value: float(_require_number(value)),
    "len": len,
    "max": lambda *values: max(_comparable_values(values)),
    "min": lambda *values: min(_comparable_values(values)),
    "range": _bounded_range,
    "round": lambda value: float(round(_require_number(value))),
    "sorted": lambda values: sorted(_require_flat(value) for value in values),
    "sum": lambda values: float(sum(_require_number(value) for value in values)),
}
"""Functions that a program may call; `StepCounter.call` counts the elements of their arguments."""


class CompiledProgram(NamedTuple):
    """A program after compilation.

    Args:
        code: Code object for `exec`; None when there are faults.
        faults: What is wrong with the program, one line each.
    """

    code: Any
    faults: tuple[str, ...]


def compile_bounded(source: str, name: str) -> CompiledProgram:
    """Compile a program.

    Args:
        source: Source text of the program.
        name: Name of the policy, for messages.

    Returns:
        The code, or the faults found.
    """
    if len(source) > MAX_SOURCE_CHARS:
        return CompiledProgram(
            None, (f"{len(source)} characters; at most {MAX_SOURCE_CHARS} are allowed",)
        )
    try:
        result = compile_restricted_exec(source, filename=name, policy=_BoundedTransformer)
    except (RecursionError, MemoryError, ValueError) as error:
        return CompiledProgram(None, (f"cannot be compiled: {type(error).__name__}",))
    return CompiledProgram(result.code, tuple(result.errors))
