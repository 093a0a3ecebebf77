//! Decoding of frames, messages and secret files from arbitrary bytes.

use std::{fs, os::unix::fs::PermissionsExt};
use wire::{FrameDecoder, Message, RegionSecret, decode, encode};

const MAX_FRAME_BYTES: usize = 256;

/// Bytes from the network must not make the decoder panic or return a frame above its limit.
#[test]
fn arbitrary_bytes_decode_to_bounded_frames_or_an_error() {
    seeded::check().with_type::<Vec<Vec<u8>>>().for_each(|chunks| {
        let mut decoder = FrameDecoder::new(MAX_FRAME_BYTES);
        for chunk in chunks {
            decoder.push(chunk);
            loop {
                match decoder.next_frame() {
                    Ok(Some(frame)) => assert!(frame.len() <= MAX_FRAME_BYTES),
                    Ok(None) => break,
                    Err(e) => {
                        assert!(e.is_too_large());
                        return;
                    }
                }
            }
        }
    });
}

/// The network may split the bytes anywhere, also within a length prefix.
#[test]
fn frames_decode_however_the_bytes_are_split() {
    seeded::check().with_type::<(Vec<Vec<u8>>, u8)>().for_each(|(payloads, chunk_bytes)| {
        let mut bytes = Vec::new();
        for payload in payloads {
            bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
            bytes.extend_from_slice(payload);
        }
        let mut decoder = FrameDecoder::new(1 << 20);
        let mut frames = Vec::new();
        for chunk in bytes.chunks(usize::from(*chunk_bytes).max(1)) {
            decoder.push(chunk);
            while let Some(frame) = decoder.next_frame().expect("within the limit") {
                frames.push(frame.to_vec());
            }
        }
        assert_eq!(&frames, payloads);
        assert!(decoder.is_empty());
    });
}

/// Bytes from the network must not make the decoder panic, and a decoded message must encode to
/// an equal one.
#[test]
fn arbitrary_bytes_decode_to_a_message_or_an_error() {
    seeded::check().with_type::<Vec<u8>>().for_each(|bytes| match decode::<Message>(bytes) {
        Ok(message) => {
            let decoded_again = decode(&encode(&message).expect("encoded")).expect("decoded");
            assert_eq!(message, decoded_again);
        }
        Err(e) => assert!(e.is_malformed()),
    });
}

/// An attempt to allocate the claimed length would abort the process.
#[test]
fn excessive_length_is_rejected_without_allocating_it() {
    // A string with a claimed length of 2^60 bytes.
    let mut bytes = vec![253];
    bytes.extend_from_slice(&(1_u64 << 60).to_le_bytes());
    assert!(decode::<Message>(&bytes).is_err_and(|e| e.is_malformed()));
}

/// Bytes after the value mean that the two ends disagree on the encoding.
#[test]
fn trailing_bytes_are_rejected() {
    let message = Message { service: "s".to_owned(), body: vec![1] };
    let mut bytes = encode(&message).expect("encoded");
    bytes.push(0);
    assert!(decode::<Message>(&bytes).is_err_and(|e| e.is_malformed()));
}

/// A secret that other users can read, that is too short or that is missing is rejected, and the
/// error does not reveal it.
#[test]
fn secret_file_must_be_accessible_to_its_owner_only() {
    let dir = tempfile::tempdir().expect("dir");
    let path = dir.path().join("secret");
    fs::write(&path, "0123456789abcdef\n").expect("write");
    fs::set_permissions(&path, fs::Permissions::from_mode(0o644)).expect("mode");
    let e = RegionSecret::read(&path).expect_err("readable by all");
    assert!(e.is_config() && !e.to_string().contains("0123456789abcdef"), "{e}");
    fs::set_permissions(&path, fs::Permissions::from_mode(0o400)).expect("mode");
    assert!(RegionSecret::read(&path).is_ok());
    assert!(RegionSecret::new("too short").is_err_and(|e| e.is_config()));
    assert!(RegionSecret::read(&dir.path().join("none")).is_err_and(|e| e.is_config()));
}
