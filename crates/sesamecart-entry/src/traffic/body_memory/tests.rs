use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::StreamBody;
use hyper::body::Frame;

use super::{
    BodyMemory, BufferError, BufferedBody, FREE_BYTES, MAX_RESPONSE_BYTES, MAX_SHARED_BYTES,
    MIN_REQUESTS, REQUEST_BYTES, buffer_body,
};

const TIMEOUT: Duration = Duration::from_secs(30);

/// Buffers a body of `count` parts with `len` bytes each.
fn buffer(memory: &BodyMemory, len: usize, count: usize) -> Result<BufferedBody, BufferError> {
    let part = Bytes::from(vec![b'x'; len]);
    let frames = (0..count).map(move |_| Ok::<_, std::io::Error>(Frame::data(part.clone())));
    let body = StreamBody::new(stream::iter(frames));
    async_io::block_on(buffer_body(body, memory, MAX_RESPONSE_BYTES, TIMEOUT))
}

fn used(memory: &BodyMemory) -> usize {
    memory.used()
}

#[test]
fn a_short_response_takes_no_shared_memory() {
    let memory = BodyMemory::new(None);
    let body = buffer(&memory, 1, FREE_BYTES).expect("it is buffered");
    assert_eq!((body.len(), used(&memory)), (FREE_BYTES, 0));
}

/// Guards against parts of one byte that take many times their size.
#[test]
fn tiny_parts_take_no_more_memory_than_they_need() {
    let memory = BodyMemory::new(None);
    let len = 10 * FREE_BYTES;
    let body = buffer(&memory, 1, len).expect("it is buffered");
    assert_eq!(body.len(), len);
    assert!(used(&memory) <= 2 * len, "{}", used(&memory));
}

#[test]
fn a_response_over_the_maximum_size_is_too_large() {
    let memory = BodyMemory::new(None);
    let result = buffer(&memory, MAX_RESPONSE_BYTES / 16, 17);
    assert!(
        matches!(result, Err(BufferError::TooLarge(_))),
        "{result:?}"
    );
    assert_eq!(used(&memory), 0);
}

/// Guards against long responses that together exceed the memory, and against short ones that fail with them.
#[test]
fn long_responses_share_the_memory_and_short_ones_need_none() {
    let memory = BodyMemory::new(None);
    let mut kept = Vec::new();
    let refused = loop {
        match buffer(&memory, MAX_RESPONSE_BYTES, 1) {
            Ok(body) => kept.push(body),
            Err(error) => break error,
        }
        assert!(used(&memory) <= MAX_SHARED_BYTES);
    };
    assert!(matches!(refused, BufferError::NoMemory), "{refused}");
    assert_eq!(
        kept.len(),
        MAX_SHARED_BYTES / (MAX_RESPONSE_BYTES - FREE_BYTES)
    );
    assert!(buffer(&memory, FREE_BYTES, 1).is_ok());
    kept.pop();
    assert!(buffer(&memory, MAX_RESPONSE_BYTES, 1).is_ok());
    kept.clear();
    assert_eq!(used(&memory), 0);
}

#[test]
fn a_reservation_that_is_refused_stays_as_it_is() {
    let memory = BodyMemory::new(None);
    let mut reservation = memory.begin();
    assert!(reservation.resize(3 * FREE_BYTES));
    assert!(!reservation.resize(MAX_SHARED_BYTES + FREE_BYTES + 1));
    assert_eq!(used(&memory), 2 * FREE_BYTES);
    assert!(reservation.resize(FREE_BYTES));
    assert_eq!(used(&memory), 0);
}

macro_rules! shares_of_vms {
    ($($name:ident: $memory_mb:expr => $shared_mb:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let shared = BodyMemory::new($memory_mb).shared.limit;
                assert_eq!(shared / 1_000_000, $shared_mb);
            }
        )*
    };
}

shares_of_vms! {
    a_small_vm_shares_a_third_of_its_memory: Some(112) => 37;
    a_large_vm_shares_no_more_than_the_maximum: Some(512) => 67;
    a_vm_whose_memory_is_not_known_shares_the_maximum: None => 67;
}

/// Guards against more requests than a small VM has memory for.
#[test]
fn requests_are_refused_before_the_memory_of_a_small_vm_is_exceeded() {
    let memory = BodyMemory::new(Some(112));
    let taken: Vec<_> = std::iter::from_fn(|| memory.begin_request()).collect();
    let bytes = taken.len() * REQUEST_BYTES;
    assert!((60_000_000..77_000_000).contains(&bytes), "{bytes} bytes");
    assert!(!memory.begin().resize(2 * FREE_BYTES + REQUEST_BYTES));
    drop(taken);
    assert!(memory.begin_request().is_some());
}

#[test]
fn a_tiny_vm_has_memory_for_some_requests() {
    let memory = BodyMemory::new(Some(1));
    let mut taken = Vec::new();
    while let Some(request) = memory.begin_request() {
        taken.push(request);
    }
    assert!(taken.len() >= MIN_REQUESTS);
}

macro_rules! rooms_for_new {
    ($($name:ident: $memory_mb:expr, $taken:expr, $idle:expr => $room:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let memory = BodyMemory::new($memory_mb);
                let _taken: Vec<_> = (0..$taken).map(|_| memory.begin_request()).collect();
                assert_eq!(memory.room_for_new(memory.requests() + $idle), $room);
            }
        )*
    };
}

rooms_for_new! {
    a_small_vm_has_room_for_some_new_requests: Some(112), 0, 0 => 459;
    room_for_new_requests_ends_before_the_memory_does: Some(112), 459, 0 => 0;
    a_full_small_vm_has_no_room_for_new_requests: Some(112), 1_000, 0 => 0;
    idle_connections_leave_a_small_vm_less_room: Some(112), 200, 800 => 109;
    a_large_vm_has_room_for_many_new_requests: Some(512), 2_000, 0 => 862;
}

#[test]
fn a_vm_whose_memory_is_not_known_has_room_for_any_number_of_requests() {
    let memory = BodyMemory::new(None);
    let _taken: Vec<_> = (0..10_000).map(|_| memory.begin_request()).collect();
    assert!(memory.room_for_new(1_900) > 1_000_000);
}

/// Guards against refusing requests on open connections while new ones take the rest of the memory.
#[test]
fn requests_on_open_connections_have_memory_when_new_ones_have_none() {
    let memory = BodyMemory::new(Some(112));
    let mut taken = Vec::new();
    while memory.room_for_new(0) > 0 {
        taken.push(memory.begin_request());
    }
    let kept: Vec<_> = std::iter::from_fn(|| memory.begin_request()).collect();
    assert!(kept.len() > 50, "{}", kept.len());
    assert_eq!(memory.requests(), taken.len() + kept.len());
}

/// Guards against long bodies that leave no memory for short requests on new connections.
#[test]
fn long_bodies_leave_memory_for_requests_on_new_connections() {
    let memory = BodyMemory::new(Some(112));
    let mut bodies = Vec::new();
    while memory.room_for_new(bodies.len()) > 0 {
        let request = memory.begin_request().expect("there is room");
        let mut body = memory.begin();
        if !body.resize(FREE_BYTES + 3 * REQUEST_BYTES / 2) {
            break;
        }
        bodies.push((request, body));
    }
    let room = memory.room_for_new(bodies.len());
    assert!(!bodies.is_empty() && room >= 50, "{room}");
}
