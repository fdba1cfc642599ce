"""Fields of a poll reply that may be missing.

Daemons of earlier releases do not send all of them, and some are unknown at
times.
"""

from collections.abc import Mapping
from typing import Any

import attrs

from tanagerbend_model.addresses import MAX_WIRE_NUMBER
from tanagerbend_proxy.messages import MILLISECONDS, integer_in_range
from tanagerbend_proxy.ranges import is_valid_cold_rate, is_valid_name
from tanagerbend_routing import ColdRate


def encode_domains(domains: frozenset[str] | None) -> list[str] | None:
    """Return the names of failure domains, None if they are unknown."""
    return None if domains is None else sorted(domains)


def decode_domains(found: Any) -> frozenset[str] | None:
    """Return names of failure domains, None if they were not sent."""
    # Earlier releases do not send them.
    if found is None:
        return None
    if not isinstance(found, list) or not all(map(is_valid_name, found)):
        raise ValueError('invalid names of evacuated failure domains')
    return frozenset(found)


def to_milliseconds(seconds: float | None) -> int | None:
    """Return seconds as whole milliseconds."""
    return None if seconds is None else round(seconds * MILLISECONDS)


def decode_seconds(document: dict[str, Any], field: str) -> float | None:
    """Return a field in milliseconds as seconds."""
    found = decode_optional(document, field)
    return None if found is None else found / MILLISECONDS


def decode_optional(document: dict[str, Any], field: str) -> int | None:
    """Return an integer, None if it was not sent."""
    # Earlier releases do not send these fields.
    found = document.get(field)
    if found is None:
        return None
    return integer_in_range(found, MAX_WIRE_NUMBER)


def encode_cold_rates(rates: Mapping[str, ColdRate]) -> dict[str, Any]:
    """Return what cold instances tolerate, by service."""
    return {service: attrs.astuple(rate) for service, rate in rates.items()}


def decode_cold_rates(fields: dict[str, Any]) -> dict[str, ColdRate]:
    """Return what cold instances tolerate, by service."""
    # Earlier releases do not send them.
    found = fields.get('cold_rates', {})
    rates = {service: ColdRate(*numbers) for service, numbers in found.items()}
    if not all(map(is_valid_cold_rate, rates.values())):
        raise ValueError('rate of cold instances out of range')
    return rates
