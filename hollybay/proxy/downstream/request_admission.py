"""Admission of requests under the limits of the operator file, and their release when they end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .. import system
from .request import ClientRequest

if TYPE_CHECKING:
    # Imported at run time only by nodes with an operator file.
    from hollybay.routing.admission_control import AdmissionControl

__all__ = ["admit_request", "release_request"]

NO_TENANT = -1


def admit_request(
    admission: AdmissionControl | None, request: ClientRequest, tenant: int | None
) -> int | None:
    """Admit a request under its limits; if it is counted as in flight, it must be released later.

    Parameters
    ----------
    admission
        Admission control; None without an operator file, when every request is admitted.
    request
        The request, after `ClientRequest.resolve`.
    tenant
        Number of its tenant; None if the settings do not name it.

    Returns
    -------
    int or None
        None if the request is admitted, else the Retry-After (ns) of its rejection, or 0 for no Retry-After.
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
    """Release a request from admission control, under the limits that it was counted under, if any."""
    limits, request.counted_limits = request.counted_limits, None
    if limits is not None and admission is not None:
        admission.release(limits)
