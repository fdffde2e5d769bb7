"""Admission of requests under the limits of the operator file, and their release once they are answered."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .. import system
from .request import ClientRequest

if TYPE_CHECKING:
    # The pure package of the operator file, which a node without one does not import.
    from hollybay.routing.admission_control import AdmissionControl

__all__ = ["admit_request", "release_request"]

NO_TENANT = -1


def admit_request(
    admission: AdmissionControl | None, request: ClientRequest, tenant: int | None
) -> int | None:
    """Admit a request under its limits; one that is counted as in flight must be released.

    Parameters
    ----------
    admission
        Admission control; None: there is no operator file, and every request is admitted.
    request
        The request, resolved.
    tenant
        Number of its tenant; None: the settings do not name it.

    Returns
    -------
    int or None
        None: it is admitted. Otherwise the Retry-After (ns, 0: none) of its rejection.
    """
    limits = request.limits
    if limits is None or admission is None:
        return None
    if admission.has_tenant_limits and tenant is not None:
        limits = admission.with_tenant_limits(limits, request.account)
    index = NO_TENANT if tenant is None else tenant
    retry_after = admission.admit(limits, index, request.values, system.monotonic_ns())
    if retry_after is None and limits.max_in_flight:
        request.counted_limits = limits
    return retry_after


def release_request(admission: AdmissionControl | None, request: ClientRequest) -> None:
    """End a request for admission control, under the limits that it was admitted under, if it was counted."""
    limits, request.counted_limits = request.counted_limits, None
    if limits is not None and admission is not None:
        admission.release(limits)
