"""Builds a configuration document from an asset register in CSV."""

import csv
import io
from collections.abc import Iterator
from typing import Any

import attrs
from jsonschema import Draft202012Validator

from jayvalve.errors import InvalidSettingsError
from jayvalve.internal.configuration import Document

__all__ = ["ColumnMapping", "ImportResult", "RefusedRow", "import_inventory"]

FIELDS = (
    "name",
    "address",
    "data_centre",
    "role",
    "services",
    "models",
    "adapters",
    "versions",
    "non_repeatable_paths",
    "max_running",
    "queue",
    "checks_fencing",
)
REQUIRED_FIELDS = ("name", "address", "data_centre", "role")
TRUE_WORDS = frozenset({"yes", "true", "1", "y"})
FALSE_WORDS = frozenset({"no", "false", "0", "n"})

_STRING_MAP_SCHEMA = {"type": "object", "additionalProperties": {"type": "string"}}
MAPPING_SCHEMA = {
    "$schema": "https://json-schema.org/draft/2020-12/schema",
    "title": "Column mapping",
    "type": "object",
    "additionalProperties": False,
    "required": ["columns"],
    "properties": {
        "columns": {**_STRING_MAP_SCHEMA, "propertyNames": {"enum": list(FIELDS)}},
        "values": {
            "type": "object",
            "propertyNames": {"enum": list(FIELDS)},
            "additionalProperties": _STRING_MAP_SCHEMA,
        },
        "defaults": {**_STRING_MAP_SCHEMA, "propertyNames": {"enum": list(FIELDS)}},
        "where": {
            "type": "object",
            "additionalProperties": {"type": "array", "items": {"type": "string"}},
        },
        "delimiter": {"type": "string", "minLength": 1, "maxLength": 1},
        "list_separator": {"type": "string", "minLength": 1},
    },
}


@attrs.frozen
class ColumnMapping:
    """Maps the columns of an asset register to the fields of an endpoint.

    Attributes:
        columns: Column heading by field.
        values: By field, a translation from values of the register to values of the endpoint.
        defaults: By field, the value for an empty cell or a field without a column.
        where: By heading, the values that select a row for import; other rows are skipped.
        delimiter: Character that separates cells.
        list_separator: Text that separates the items of a list in a cell.
    """

    columns: dict[str, str]
    values: dict[str, dict[str, str]] = attrs.field(factory=dict)
    defaults: dict[str, str] = attrs.field(factory=dict)
    where: dict[str, list[str]] = attrs.field(factory=dict)
    delimiter: str = ","
    list_separator: str = ";"

    @classmethod
    def from_config(cls, config: Any) -> "ColumnMapping":
        """Validate a column mapping parsed from JSON and build a ColumnMapping from it.

        Raises:
            InvalidSettingsError: the mapping is not valid; the message lists each error with its
                path.
        """
        errors = [
            f"{error.json_path}: {error.message}"
            for error in Draft202012Validator(MAPPING_SCHEMA).iter_errors(config)
        ]
        if not errors:
            provided = {**config["columns"], **config.get("defaults", {})}
            errors = [
                f"$.columns.{name}: is required, here or under defaults"
                for name in REQUIRED_FIELDS
                if name not in provided
            ]
        if errors:
            raise InvalidSettingsError("column mapping is not valid: " + "; ".join(errors))
        return cls(**config)

    def value(self, name: str, row: dict[str, str]) -> str:
        """Return the text of a field in a row, or an empty string if it has no value."""
        heading = self.columns.get(name)
        text = (row.get(heading) or "").strip() if heading is not None else ""
        text = self.values.get(name, {}).get(text, text)
        return text or self.defaults.get(name, "")

    def items(self, name: str, row: dict[str, str]) -> list[str]:
        """Return the non-empty items of a list field."""
        parts = self.value(name, row).split(self.list_separator)
        return [part.strip() for part in parts if part.strip()]

    def selects(self, row: dict[str, str]) -> bool:
        """Return whether the row matches all conditions of where."""
        return all((row.get(name) or "").strip() in wanted for name, wanted in self.where.items())


@attrs.frozen
class RefusedRow:
    """A row that could not be imported; row 1 is the heading."""

    row: int
    reason: str


@attrs.frozen
class ImportResult:
    """The document, the refused rows, and the number of rows that the mapping does not select."""

    document: dict[str, Any]
    refused: list[RefusedRow]
    left_out: int

    @property
    def imported(self) -> int:
        """Number of endpoints in the document."""
        return len(self.document["inventory"]["endpoints"])


def import_inventory(
    text: str, mapping: ColumnMapping, rules: dict[str, Any] | None = None
) -> ImportResult:
    """Return a document with an endpoint for each valid row that the mapping selects.

    Raises:
        InvalidSettingsError: a mapped column is missing from the heading, or the text is not
            valid CSV.
    """
    reader = csv.DictReader(io.StringIO(text), delimiter=mapping.delimiter, strict=True)
    _check_heading(reader.fieldnames or [], mapping)
    endpoints: list[dict[str, Any]] = []
    refused: list[RefusedRow] = []
    row_numbers: dict[tuple[str, str], int] = {}
    left_out = 0
    for number, row in _numbered_rows(reader):
        try:
            # Check before selecting: a truncated row may lack the cell that "where" compares, and
            # would be skipped silently.
            _check_cells(row)
            if not mapping.selects(row):
                left_out += 1
                continue
            endpoint = _build_endpoint(row, mapping)
            _check_unique(endpoint, number, row_numbers)
            endpoints.append(endpoint)
        except InvalidSettingsError as error:
            refused.append(RefusedRow(number, error.message))
    document = {"inventory": {"endpoints": endpoints}, "rules": rules or {}}
    return ImportResult(document, refused, left_out)


def _numbered_rows(reader: csv.DictReader) -> Iterator[tuple[int, dict[str, str]]]:
    try:
        # DictReader skips blank lines, so row numbers count only non-blank rows, as if the blank
        # rows had been deleted from the spreadsheet.
        yield from enumerate(reader, 2)
    except csv.Error as error:
        raise InvalidSettingsError(f"line {reader.line_num}: not valid CSV: {error}") from error


def _check_heading(heading: list[str], mapping: ColumnMapping) -> None:
    wanted = [*mapping.columns.values(), *mapping.where]
    missing = sorted({name for name in wanted if name not in heading})
    if missing:
        raise InvalidSettingsError(
            f"the register has no column {', '.join(map(repr, missing))}; "
            f"its columns are {', '.join(map(repr, heading))}"
        )


def _check_cells(row: dict[Any, Any]) -> None:
    if None in row:
        raise InvalidSettingsError("has more cells than the heading")
    if None in row.values():
        raise InvalidSettingsError("has fewer cells than the heading")


def _build_endpoint(row: dict[str, str], mapping: ColumnMapping) -> dict[str, Any]:
    endpoint: dict[str, Any] = {name: mapping.value(name, row) for name in REQUIRED_FIELDS}
    empty = [name for name in REQUIRED_FIELDS if not endpoint[name]]
    if empty:
        raise InvalidSettingsError(f"{', '.join(empty)}: is empty")
    for name in ("services", "non_repeatable_paths"):
        if items := mapping.items(name, row):
            endpoint[name] = items
    if models := _build_models(row, mapping):
        endpoint["models"] = models
    if limits := _build_limits(row, mapping):
        endpoint["limits"] = limits
    if fencing := mapping.value("checks_fencing", row).lower():
        if fencing not in TRUE_WORDS | FALSE_WORDS:
            raise InvalidSettingsError(f"checks_fencing: {fencing!r} is neither yes nor no")
        endpoint["checks_fencing"] = fencing in TRUE_WORDS
    _check_endpoint(endpoint)
    return endpoint


def _build_models(row: dict[str, str], mapping: ColumnMapping) -> list[dict[str, Any]]:
    """Return the models of a row; its cells list adapters and versions as MODEL/NAME."""
    models: dict[str, dict[str, Any]] = {
        name: {"name": name} for name in mapping.items("models", row)
    }
    for field in ("adapters", "versions"):
        for item in mapping.items(field, row):
            model, _, name = item.partition("/")
            if model not in models or not name:
                raise InvalidSettingsError(f"{field}: {item!r} is not MODEL/NAME of a listed model")
            models[model].setdefault(field, []).append(name)
    return list(models.values())


def _build_limits(row: dict[str, str], mapping: ColumnMapping) -> dict[str, int]:
    limits = {}
    for name in ("max_running", "queue"):
        text = mapping.value(name, row)
        if text and not (text.isascii() and text.isdigit()):
            raise InvalidSettingsError(f"{name}: {text!r} is not a whole number")
        if text:
            limits[name] = int(text)
    return limits


def _check_endpoint(endpoint: dict[str, Any]) -> None:
    try:
        Document.from_value({"inventory": {"endpoints": [endpoint]}})
    except InvalidSettingsError as error:
        reasons = error.message.removeprefix("configuration is not valid: ")
        raise InvalidSettingsError(
            reasons.replace("$.inventory.endpoints[0].", "").replace("$.inventory.", "")
        ) from error


def _check_unique(
    endpoint: dict[str, Any], number: int, row_numbers: dict[tuple[str, str], int]
) -> None:
    for name in ("name", "address"):
        earlier = row_numbers.get((name, endpoint[name]))
        if earlier is not None:
            raise InvalidSettingsError(f"{name}: {endpoint[name]!r} is also in row {earlier}")
    for name in ("name", "address"):
        row_numbers[name, endpoint[name]] = number
