//! What one connection may read now, and why it ends.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    sync::Arc,
    task::{
        Poll,
        Waker, //
    }, //
};

use super::{
    now_ms,
    ClientMemory,
    ClientTable, //
};
use crate::fleet::clients::{
    Activity,
    ConnectionKey,
    End,
    Result,
    REQUEST_BYTES,
    RESPONSE_BYTES, //
};

/// Bytes that are read of a connection before others get their turn.
const TURN_BYTES: usize = 4 << 10;

/// Bytes of a body with a length that are read ahead of the request that waits for them.
const BODY_WINDOW_BYTES: usize = 16 << 10;

/// The same for a body in chunks, which may be of a byte each: every chunk takes memory of its own.
const CHUNKED_WINDOW_BYTES: usize = 4 << 10;

/// Memory for the chunks of a window: one in six bytes is a chunk, in a buffer that grows by doubling.
const CHUNKED_BYTES: usize = (CHUNKED_WINDOW_BYTES / 6).next_power_of_two() * 32;

/// Bytes that are read while a request is at work: enough to see that the client has closed the connection.
const AHEAD_BYTES: usize = 2 << 10;

/// Part of a head that the memory of a connection covers.
const FREE_HEAD_BYTES: usize = 8 << 10;

/// How often headers are in memory: as received, as parsed and as forwarded.
const HEADER_COPIES: usize = 3;

/// A body may take so many more bytes of the connection than it has itself, and so many for each byte of its
/// own: the sizes of chunks.
const MAX_OVERHEAD_BYTES: usize = 64 << 10;
const MAX_OVERHEAD_FACTOR: usize = 8;

/// How the body of a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyForm {
    /// There is none.
    None,
    /// With a length.
    Length,
    /// In chunks.
    Chunked,
}

/// The HTTP server's side of a connection.
pub struct Gate {
    table: Rc<ClientTable>,
    key: ConnectionKey,
    address: Arc<str>,
    activity: Cell<Activity>,
    /// Bytes that may be read now.
    allowed_bytes: Cell<usize>,
    window_bytes: Cell<usize>,
    /// Bytes of the present head, or bytes of the connection that the present body took.
    received_bytes: Cell<usize>,
    /// Memory for the part of a head that the connection does not cover.
    head: ClientMemory,
    /// Whether a part of the body has not been read.
    body_left: Cell<bool>,
    /// Memory of responses that were handed over and are not sent yet.
    unsent: RefCell<Vec<ClientMemory>>,
    end: Cell<Option<End>>,
    closed: Cell<bool>,
    reader: RefCell<Option<Waker>>,
    writer: RefCell<Option<Waker>>,
    body_reader: RefCell<Option<Waker>>,
    blocked: Cell<bool>,
    /// The request that waits until earlier responses are sent.
    waiting: RefCell<Option<Waker>>,
}

impl Gate {
    pub(super) fn new(table: Rc<ClientTable>, key: ConnectionKey, address: Arc<str>) -> Self {
        Self {
            head: ClientMemory::new(table.clone(), key),
            table,
            key,
            address,
            activity: Cell::new(Activity::Idle),
            allowed_bytes: Cell::new(TURN_BYTES),
            window_bytes: Cell::new(BODY_WINDOW_BYTES),
            received_bytes: Cell::new(0),
            body_left: Cell::new(false),
            unsent: RefCell::default(),
            end: Cell::new(None),
            closed: Cell::new(false),
            reader: RefCell::default(),
            writer: RefCell::default(),
            body_reader: RefCell::default(),
            blocked: Cell::new(false),
            waiting: RefCell::default(),
        }
    }

    /// Returns the address of the client.
    pub fn client(&self) -> &str {
        &self.address
    }

    /// Begins a request whose head was read, and whose body has this form.
    ///
    /// # Errors
    ///
    /// [`Shortage`](crate::fleet::clients::Shortage) if `memory` can't keep another request. It still has to be
    /// answered.
    pub fn begin_request(
        &self,
        memory: &ClientMemory,
        header_bytes: usize,
        form: BodyForm,
    ) -> Result<()> {
        self.head.give_back(usize::MAX);
        let mut clients = self.table.clients.borrow_mut();
        clients.identify(self.key, &self.address);
        drop(clients);
        self.body_left.set(form != BodyForm::None);
        self.enter(Activity::Response, AHEAD_BYTES);
        let (window_bytes, chunk_bytes) = match form {
            BodyForm::Chunked => (CHUNKED_WINDOW_BYTES, CHUNKED_BYTES),
            BodyForm::None | BodyForm::Length => (BODY_WINDOW_BYTES, 0),
        };
        self.window_bytes.set(window_bytes);
        memory.keep(REQUEST_BYTES + RESPONSE_BYTES + HEADER_COPIES * header_bytes + chunk_bytes)
    }

    /// Returns whether a part of the body has not been read.
    pub fn has_unread_body(&self) -> bool {
        self.body_left.get()
    }

    /// Returns memory for a part of the request, of which nothing is kept yet.
    pub fn memory(&self) -> ClientMemory {
        self.head.another()
    }

    /// Records that the request is that of an organisation. Before, it is that of an address.
    pub fn identify(&self, organisation: &Arc<str>) {
        let mut clients = self.table.clients.borrow_mut();
        clients.identify(self.key, organisation);
    }

    /// Waits until the client has taken the responses to its earlier requests, so that only one is in memory.
    pub async fn wait_until_sent(&self) {
        if self.blocked.get() {
            // The head was read in time. What is waited for now is the client that takes the response.
            self.enter(Activity::Response, AHEAD_BYTES);
        }
        futures::future::poll_fn(|context| match self.blocked.get() {
            true => {
                self.waiting.replace(Some(context.waker().clone()));
                Poll::Pending
            }
            false => Poll::Ready(()),
        })
        .await;
    }

    /// Records that the response was handed over to the connection, with the memory that is kept for it until
    /// it is sent.
    pub fn end_request(&self, response: ClientMemory) {
        self.unsent.borrow_mut().push(response);
        match self.body_left.get() {
            true => self.enter(Activity::Discard, TURN_BYTES),
            false => self.enter(Activity::Idle, TURN_BYTES),
        }
    }

    /// Begins to read a body, which has to be complete in time.
    pub(super) fn begin_body(&self, limit_ms: u64) {
        self.enter(Activity::Body { limit_ms }, self.window_bytes.get());
    }

    /// Records that the request waits for more of its body.
    pub(super) fn want_body(&self, waker: &Waker) {
        self.body_reader.replace(Some(waker.clone()));
        if self.allowed_bytes.get() < self.window_bytes.get() {
            self.allowed_bytes.set(self.window_bytes.get());
            wake(&self.reader);
        }
    }

    /// Records that a part of the body was read, of which there are `body_bytes` so far. Returns whether it is
    /// in proportion to what the client sent for it.
    pub(super) fn body_progressed(&self, body_bytes: usize) -> bool {
        let mut clients = self.table.clients.borrow_mut();
        clients.progressed(self.key, now_ms());
        self.is_in_proportion(body_bytes)
    }

    /// Returns whether a body is in proportion to what the client sent for it.
    pub(super) fn is_in_proportion(&self, body_bytes: usize) -> bool {
        let allowed_bytes = MAX_OVERHEAD_BYTES + body_bytes.saturating_mul(1 + MAX_OVERHEAD_FACTOR);
        self.received_bytes.get() <= allowed_bytes
    }

    /// Records that nothing more of the body is read. `is_complete` says whether it was read to its end.
    pub(super) fn end_body(&self, is_complete: bool) {
        self.body_left.set(!is_complete);
        self.enter(Activity::Response, AHEAD_BYTES);
    }

    /// Returns why the connection ends, if it does.
    pub(super) fn ending(&self) -> Option<End> {
        self.end.get()
    }

    /// Ends the connection. A request whose body is being read is answered first.
    pub(super) fn end(&self, end: End) {
        self.end.set(Some(end));
        let is_body = matches!(self.activity.get(), Activity::Body { .. });
        if !(is_body && wake(&self.body_reader)) {
            self.closed.set(true);
        }
        wake(&self.reader);
        wake(&self.writer);
    }

    /// Returns how many bytes may be read now; `None` if the waker is woken when some may be. The connection
    /// is at its end if it returns 0.
    pub(super) fn allowed_bytes(&self, waker: &Waker) -> Option<usize> {
        if self.closed.get() {
            return Some(0);
        }
        let allowed_bytes = self.allowed_bytes.get();
        if allowed_bytes > 0 {
            return Some(allowed_bytes);
        }
        match self.activity.get() {
            Activity::Idle | Activity::Head | Activity::Discard => {
                // Only a turn has ended.
                self.allowed_bytes.set(TURN_BYTES);
                waker.wake_by_ref();
            }
            Activity::Body { .. } | Activity::Response => {
                self.reader.replace(Some(waker.clone()));
            }
        }
        None
    }

    /// Records that bytes were read from the connection.
    pub(super) fn received(&self, bytes: usize) {
        self.allowed_bytes
            .set(self.allowed_bytes.get().saturating_sub(bytes));
        if bytes > 0 && self.activity.get() == Activity::Idle {
            self.enter(Activity::Head, self.allowed_bytes.get());
        }
        let received_bytes = self.received_bytes.get() + bytes;
        self.received_bytes.set(received_bytes);
        if self.activity.get() == Activity::Head && received_bytes > FREE_HEAD_BYTES {
            self.table
                .clients
                .borrow_mut()
                .progressed(self.key, now_ms());
            if self.head.keep(bytes).is_err() {
                self.closed.set(true);
            }
        }
    }

    /// Records that nothing can be read at present. The waker is woken if the connection ends.
    pub(super) fn drained(&self, waker: &Waker) {
        self.reader.replace(Some(waker.clone()));
        if !matches!(
            self.activity.get(),
            Activity::Body { .. } | Activity::Response
        ) {
            self.allowed_bytes.set(TURN_BYTES);
        }
    }

    /// Records that the client took bytes of the `offered` ones.
    pub(super) fn taken(&self, taken: Option<usize>, offered: usize, waker: &Waker) {
        if taken == Some(offered) {
            self.unsent.borrow_mut().clear();
            if self.blocked.replace(false) {
                self.table.clients.borrow_mut().took_all(self.key);
                wake(&self.waiting);
            }
            return;
        }
        self.blocked.set(true);
        if taken.is_none() {
            self.writer.replace(Some(waker.clone()));
        }
        let (bytes, takes_more) = (taken.unwrap_or(0), taken.is_some());
        let mut clients = self.table.clients.borrow_mut();
        clients.taken(self.key, bytes, takes_more, now_ms());
    }

    pub(super) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Records that the connection is closed.
    pub(super) fn close(&self) {
        self.head.give_back(usize::MAX);
        self.unsent.borrow_mut().clear();
        self.table.close(self.key);
    }

    fn enter(&self, activity: Activity, allowed_bytes: usize) {
        self.activity.set(activity);
        self.received_bytes.set(0);
        self.allowed_bytes.set(allowed_bytes);
        let mut clients = self.table.clients.borrow_mut();
        clients.begin(self.key, activity, now_ms());
        drop(clients);
        wake(&self.reader);
    }
}

/// Wakes the task of a waker, if there is one.
fn wake(waker: &RefCell<Option<Waker>>) -> bool {
    let waker = waker.take();
    waker.is_some_and(|waker| {
        waker.wake();
        true
    })
}
