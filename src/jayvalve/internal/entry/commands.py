"""Handlers of requests that run calls and change programs."""

from jayvalve.internal.entry.http import CallerHandler

__all__ = ["ChatCompletionsHandler", "EndProgramHandler", "ServiceHandler", "StartProgramHandler"]


class ChatCompletionsHandler(CallerHandler):
    """``POST /v1/chat/completions``."""

    async def post(self) -> None:
        """Run a chat completion as a call of a program."""
        await self.relay()


class ServiceHandler(CallerHandler):
    """Any method on ``/v1/services/{service}/{path}``."""

    async def _relay(self, *_: str) -> None:
        await self.relay()

    get = post = put = patch = delete = _relay


class StartProgramHandler(CallerHandler):
    """``POST /v1/programs``."""

    async def post(self) -> None:
        """Start a program with the budget of the request, or return it if it exists."""
        await self.relay()


class EndProgramHandler(CallerHandler):
    """``POST /v1/programs/{id}/end``."""

    async def post(self) -> None:
        """End a program and release its copies and its state at the endpoints."""
        await self.relay()
