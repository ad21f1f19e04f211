"""Invalid external input raises the documented error and no other."""

import hypothesis
from hypothesis import strategies as st
import msgpack
import pytest
import yaml

from monsoonpass import codec
from monsoonpass import errors
from monsoonpass.core.calls import call_messages
from monsoonpass.core.distribution import config_messages
from monsoonpass.core.membership import member
from monsoonpass.formats import framing
from monsoonpass.formats import handshake
from monsoonpass.formats import operator_text
from monsoonpass.formats import settings
from tests import fake_mesh

SECRET = b"0123456789abcdef"
UNKNOWN_TAG = 60000  # No build registers it.
VALID_SETTINGS = """
[node]
instance = n1
data_centre = mvd-a
region = mvd
[listen]
callers = 127.0.0.1:8080
operators = 127.0.0.1:8081
peers = 127.0.0.1:8082
[mesh]
name = retazo
secret = 0123456789abcdef
[control]
bootstrap_voters = n1
[disk]
folder = /tmp/n1
"""


class TestCodec:
    def test_message_equals_its_decoded_encoding(self):
        delta = fake_mesh.make_catalog(1, "a").delta_to(
            fake_mesh.make_catalog(2, "a", "b")
        )
        push = config_messages.Push(
            version=2, delta=delta.packed, root_instance="n1"
        )
        assert codec.decode(codec.encode(push)) == push

    def test_optional_nested_field_equals_its_decoded_encoding(self):
        for leader in (None, fake_mesh.make_address("n1")):
            reply = config_messages.SubmitReply(
                request_id=1,
                status=config_messages.SubmitStatus.BUSY,
                version=3,
                leader=leader,
            )
            assert codec.decode(codec.encode(reply)) == reply

    @hypothesis.given(st.binary(max_size=200))
    def test_random_bytes_raise_only_protocol_errors(self, data):
        try:
            codec.decode(data)
        except errors.ProtocolError:
            return

    @hypothesis.given(st.data())
    def test_one_changed_byte_raises_only_protocol_errors(self, data):
        good = codec.encode(
            member.Rumour(updates=()),
        ) + codec.encode(call_messages.CallCancel(call=7))
        position = data.draw(st.integers(0, len(good) - 1))
        value = data.draw(st.integers(0, 255))
        damaged = good[:position] + bytes([value]) + good[position + 1 :]
        try:
            codec.decode(damaged)
        except errors.ProtocolError:
            return


class TestFrameReader:
    @hypothesis.given(st.lists(st.integers(1, 7), min_size=1, max_size=40))
    def test_messages_do_not_depend_on_how_the_stream_is_split(self, sizes):
        sent = [call_messages.CallCancel(call=n) for n in range(5)]
        stream = b"".join(framing.pack(message) for message in sent)
        reader = framing.FrameReader()
        received = []
        position = 0
        for size in sizes * 20:
            received += reader.feed(stream[position : position + size])
            position += size
        assert received == sent[: len(received)]
        assert position < len(stream) or received == sent

    def test_overlong_frame_is_refused_by_its_length_prefix(self):
        reader = framing.FrameReader(max_bytes=100)
        with pytest.raises(errors.FrameTooLargeError):
            list(reader.feed((101).to_bytes(4, "big")))

    @hypothesis.given(st.binary(max_size=300))
    def test_random_bytes_raise_only_protocol_errors(self, data):
        reader = framing.FrameReader(max_bytes=1000)
        try:
            list(reader.feed(data))
        except errors.ProtocolError:
            return

    def test_message_of_an_unknown_type_is_skipped(self):
        """A link closed at the first message of a newer build's new type.

        Guard: `UnknownMessageError` in FrameReader.feed.
        """
        known = call_messages.CallCancel(call=1)
        payload = msgpack.packb([UNKNOWN_TAG, "new"])
        frame = len(payload).to_bytes(framing.LENGTH_BYTES, "big") + payload
        reader = framing.FrameReader()
        received = list(reader.feed(frame + framing.pack(known) + frame))
        assert received == [known]
        assert len(reader.skipped) == 2

    def test_unknown_type_in_a_handshake_is_an_error(self):
        payload = msgpack.packb([UNKNOWN_TAG])
        reader = framing.FrameReader()
        reader.push(len(payload).to_bytes(framing.LENGTH_BYTES, "big"))
        reader.push(payload)
        with pytest.raises(errors.UnknownMessageError):
            reader.pop()

    def test_field_that_a_newer_build_appended_is_ignored(self):
        """A link closed at the first message with an appended field.

        Guard: no upper bound on the number of fields in codec._name_fields.
        """
        payload = msgpack.packb([103, 1, "appended"])
        assert codec.decode(payload) == call_messages.CallCancel(call=1)


class TestDatagrams:
    def test_signed_datagram_is_decoded(self):
        sender = fake_mesh.make_address("n1")
        message = member.Rumour(updates=())
        data = handshake.seal_datagram(SECRET, sender, message)
        assert handshake.open_datagram(SECRET, data) == (sender, message)

    @hypothesis.given(st.binary(max_size=100))
    def test_unsigned_datagram_is_refused(self, data):
        with pytest.raises(errors.ProtocolError):
            handshake.open_datagram(SECRET, data)

    def test_datagram_signed_with_another_secret_is_refused(self):
        data = handshake.seal_datagram(
            b"another secret!!",
            fake_mesh.make_address("n1"),
            member.Rumour(updates=()),
        )
        with pytest.raises(errors.HandshakeError):
            handshake.open_datagram(SECRET, data)


class TestSettings:
    def test_valid_settings_are_parsed(self):
        read = settings.parse(VALID_SETTINGS)
        assert read.reducer_settings().address.port == 8082

    def test_all_faults_are_reported_together(self):
        text = VALID_SETTINGS.replace("127.0.0.1:8080", "nowhere")
        text = text.replace("name = retazo", "name = Retazo!")
        text += "[limits]\nqueue = many\ncolour = blue\n"
        with pytest.raises(errors.SettingsError) as caught:
            settings.parse(text)
        locations = {issue.location for issue in caught.value.issues}
        assert locations == {
            "[listen] callers",
            "[mesh] name",
            "[limits] queue",
            "[limits] colour",
        }

    def test_invalid_secret_is_not_in_the_error(self):
        text = VALID_SETTINGS.replace("0123456789abcdef", "tooshort")
        with pytest.raises(errors.SettingsError) as caught:
            settings.parse(text)
        assert "tooshort" not in str(caught.value)

    def test_bootstrap_voter_needs_a_disk(self):
        text = VALID_SETTINGS.replace("[disk]\nfolder = /tmp/n1\n", "")
        with pytest.raises(errors.SettingsError, match="data folder"):
            settings.parse(text)

    @hypothesis.given(st.text(max_size=200))
    def test_any_text_gives_settings_or_a_settings_error(self, text):
        try:
            settings.parse(text)
        except errors.SettingsError:
            return


class TestOperatorText:
    def issues(self, text: str) -> list[str]:
        """Return the issues that a text is refused with."""
        with pytest.raises(errors.OperatorTextError) as caught:
            operator_text.compile_text(text)
        return [str(issue) for issue in caught.value.issues]

    def test_all_but_the_name_of_a_service_is_optional(self):
        text = "version: 3\nservices:\n  a:\n  b:\n    depends_on: [a]\n"
        catalog = operator_text.compile_text(text)
        assert catalog.version == 3
        get = catalog.find_route("a", "GET", "/x")
        post = catalog.find_route("a", "POST", "/x")
        assert get.idempotent
        assert not post.idempotent

    def test_all_faults_are_reported_with_their_lines(self):
        text = (
            "version: 1\n"
            "services:\n"
            "  a:\n"
            "    depends_on: [nobody]\n"
            "    routes:\n"
            "      - path: /x\n"
            "      - path: /x\n"
            "  b:\n"
            "    depends_on: [c]\n"
            "  c:\n"
            "    depends_on: [b]\n"
        )
        reported = self.issues(text)
        assert [issue.split(":")[0] for issue in reported] == [
            "line 4",
            "line 7",
            "line 9",
        ]
        assert "unknown service nobody" in reported[0]
        assert "twice" in reported[1]
        assert "b -> c -> b" in reported[2]

    def test_invalid_unit_and_size_are_reported_with_their_lines(self):
        text = (
            "version: 1\nservices:\n  a:\n    routes:\n"
            "      - deadline: 5 parsecs\n        size: enormous\n"
        )
        reported = self.issues(text)
        assert reported[0].startswith("line 5: ")
        assert reported[1].startswith("line 6: ")

    def test_duplicate_service_is_reported(self):
        text = "version: 1\nservices:\n  a:\n  a:\n"
        assert self.issues(text) == ["line 4: 'a' stands twice"]

    def test_missing_version_is_reported(self):
        assert "version" in self.issues("services:\n  a:\n")[0]

    def test_aliases_are_refused(self):
        text = "version: 1\nservices: &x\n  a: *x\n"
        assert "anchors" in self.issues(text)[0]

    @hypothesis.given(st.text(max_size=200))
    def test_any_text_gives_a_catalog_or_a_text_error(self, text):
        try:
            operator_text.compile_text(text)
        except errors.OperatorTextError:
            return

    @hypothesis.given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(max_size=5),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(
                        (
                            "version",
                            "services",
                            "a",
                            "routes",
                            "path",
                            "depends_on",
                        )
                    ),
                    inner,
                    max_size=4,
                )
            ),
            max_leaves=12,
        )
    )
    def test_any_structure_gives_a_catalog_or_a_text_error(self, value):

        try:
            operator_text.compile_text(yaml.safe_dump(value))
        except errors.OperatorTextError:
            return
