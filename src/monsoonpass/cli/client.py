"""HTTP client of the operator endpoint."""

from typing import Any
import urllib.parse

import httpx
import pydantic

from monsoonpass import errors
from monsoonpass import immutable
from monsoonpass.formats import operator_models as models

TIMEOUT_S = 12.0  # Longer than the node waits for its reply.


@immutable.dataclass
class SubmitAnswer:
    """The result of a submission.

    Attributes:
        status: A value of `SubmitStatus`, or "unauthorized".
        version: Last accepted version that the node knows of.
        issues: Faults in the text, each as "location: message".
    """

    status: str
    version: int = 0
    issues: tuple[str, ...] = ()


class Client:
    """A client of one node's operator endpoint; a context manager."""

    def __init__(self, *, node: str, token: str = ""):
        """Create a client.

        Args:
            node: Address of the endpoint, such as "127.0.0.1:8081".
            token: The operators' token; empty to send none.
        """
        headers = {"authorization": f"Bearer {token}"} if token else {}
        self._http = httpx.Client(
            base_url=f"http://{node}", headers=headers, timeout=TIMEOUT_S
        )

    def __enter__(self) -> "Client":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._http.close()

    def submit(self, text: str) -> SubmitAnswer:
        """Submit an operator text.

        Args:
            text: The YAML text.

        Returns:
            The result; "unconfirmed" if the node did not answer.

        Raises:
            OperatorApiError: The connection to the node failed.
        """
        try:
            response = self._http.post("/v1/config", content=text.encode())
        except httpx.ConnectError as error:
            raise errors.OperatorApiError(f"no connection: {error}") from error
        except httpx.HTTPError:
            return SubmitAnswer(status="unconfirmed")
        body = _json_object(response)
        if "issues" in body:
            issues = tuple(
                f"{item['place']}: {item['message']}" for item in body["issues"]
            )
            return SubmitAnswer(status="invalid", issues=issues)
        return SubmitAnswer(
            status=body.get("status", "unconfirmed"),
            version=body.get("version", 0),
        )

    def status(self) -> models.StatusView:
        """Return the versions in force in each data centre.

        Raises:
            OperatorApiError: The node did not answer as expected.
        """
        return self._get("/v1/status", models.StatusView)

    def config(self) -> models.ConfigView:
        """Return the configuration in force at the node.

        Raises:
            OperatorApiError: The node did not answer as expected.
        """
        return self._get("/v1/config", models.ConfigView)

    def start_rollout(
        self, service: str, target_version: str, duration_s: float
    ) -> str:
        """Order a rollout.

        Args:
            service: The service.
            target_version: Version that its upstreams move to.
            duration_s: Time until the rollout must be completed.

        Returns:
            A value of `OrderStatus`, "invalid" or "unauthorized"; "unconfirmed"
            if the node did not answer.

        Raises:
            OperatorApiError: The connection to the node failed.
        """
        order = {
            "service": service,
            "target_version": target_version,
            "duration_s": duration_s,
        }
        try:
            response = self._http.post("/v1/rollouts", json=order)
        except httpx.ConnectError as error:
            raise errors.OperatorApiError(f"no connection: {error}") from error
        except httpx.HTTPError:
            return "unconfirmed"
        return str(_json_object(response).get("status", "unconfirmed"))

    def rollout(self, service: str) -> models.RolloutView | None:
        """Return the newest rollout of a service, or None.

        Raises:
            OperatorApiError: The node did not answer as expected.
        """
        path = f"/v1/rollouts/{urllib.parse.quote(service, safe='')}"
        return self._get(path, models.RolloutView, none_if_missing=True)

    def _get(
        self,
        path: str,
        model: type[pydantic.BaseModel],
        *,
        none_if_missing: bool = False,
    ) -> Any:
        try:
            response = self._http.get(path)
        except httpx.HTTPError as error:
            raise errors.OperatorApiError(str(error) or repr(error)) from error
        if none_if_missing and response.status_code == 404:
            return None
        if response.status_code != 200:
            message = _json_object(response).get("message", response.text)
            raise errors.OperatorApiError(str(message))
        try:
            return model.model_validate_json(response.content)
        except pydantic.ValidationError as error:
            raise errors.OperatorApiError(f"unexpected answer: {error}") from (
                error
            )


def _json_object(response: httpx.Response) -> dict[str, Any]:
    try:
        body = response.json()
    except ValueError:
        return {}
    return body if isinstance(body, dict) else {}
