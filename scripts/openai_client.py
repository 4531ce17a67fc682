"""Speaks to a running system through the published client library, by base URL and key alone.

    pip install openai
    python scripts/openai_client.py http://$CALLERS/v1 example-key

Exits 0 if plain and streamed answers are whole and a resend gets the recorded answer.
"""

import sys
import uuid

import openai

MODEL = "advisor"


def main() -> None:
    base_url, api_key = sys.argv[1:3]
    client = openai.OpenAI(base_url=base_url, api_key=api_key)
    program = f"client-{uuid.uuid4().hex[:8]}"
    headers = {"X-Program-Id": program, "Idempotency-Key": f"{program}-1"}
    messages = [{"role": "user", "content": "Three lenses for a night shoot"}]

    plain = client.chat.completions.create(model=MODEL, messages=messages, extra_headers=headers)
    resent = client.chat.completions.create(model=MODEL, messages=messages, extra_headers=headers)
    answer = plain.choices[0].message.content
    assert answer and answer == resent.choices[0].message.content, "a resend gets the same answer"

    # The whole history again, as most callers send it, with the new message at its end.
    messages += [
        {"role": "assistant", "content": answer},
        {"role": "user", "content": "And a spare"},
    ]
    stream = client.chat.completions.create(
        model=MODEL,
        messages=messages,
        stream=True,
        stream_options={"include_usage": True},
        extra_headers={"X-Program-Id": program},
    )
    text, usage, reason = "", None, None
    for chunk in stream:
        usage = chunk.usage or usage
        for choice in chunk.choices:
            text += choice.delta.content or ""
            reason = choice.finish_reason or reason
    assert text and reason == "stop", "the stream is whole"
    assert usage.prompt_tokens == 6 + 16 + 3, f"history counted once, got {usage}"

    try:
        openai.OpenAI(base_url=base_url, api_key="wrong", max_retries=0).chat.completions.create(
            model=MODEL, messages=messages
        )
    except openai.AuthenticationError as error:
        assert error.body["outcome"] == "not-run", error.body
    else:
        raise AssertionError("a wrong key is refused")
    print(f"openai {openai.__version__}: plain, resent, streamed and refused calls as expected")


if __name__ == "__main__":
    main()
