//! What clients may make a process keep: memory for what they send and are sent, and open connections.
//!
//! Clients decide how many connections they open, how much they send and when they read. Everything that is
//! kept for them is taken from one budget before it is kept. A part of it is left to ordinary requests, so that
//! large ones can't take all of it, and one client, an organisation or an address, gets a share of what large
//! requests may use. A client that brings nothing is ended after a while, and sooner if others need what it
//! keeps. Answers the load of clients that send large bodies and stop in the middle, open connections and
//! leave them, or never read what they asked for. See `docs/design/clients.md`.

use std::sync::Arc;

/// Result of keeping something for a client.
pub type Result<T> = std::result::Result<T, Shortage>;

/// A request that keeps at most so many bytes is an ordinary one.
pub const ORDINARY_BYTES: usize = 256 << 10;

/// Memory of a request that is at work, without its headers and its body: its task and its connection to an
/// endpoint.
pub const REQUEST_BYTES: usize = 48 << 10;

/// Memory of a response that is passed on as it arrives: what is read of it before its client takes it. A
/// request keeps it from its begin, because a response that exists can't be refused.
pub const RESPONSE_BYTES: usize = 160 << 10;

/// Memory of a connection without a request: its buffers, its task, and what it has received and nobody has
/// read.
pub const CONNECTION_BYTES: usize = 48 << 10;

/// Descriptors that clients can't use: those of files, as the platform reserves them.
const FILE_DESCRIPTORS: usize = 200;

/// Share of the machine's memory that is kept for clients' requests, in percent. What the allocator can't use
/// again at once comes on top of it.
const REQUEST_PERCENT: usize = 45;

/// The same while a single large request is there. A submission of the largest legal size takes nearly twice
/// its size.
const SINGLE_PERCENT: usize = 50;

/// Share of the memory for requests that only ordinary ones may use, in percent.
const ORDINARY_PERCENT: usize = 20;

/// Share of the memory for large requests that those of one client may use, in percent.
const CLIENT_PERCENT: usize = 50;

/// Share of the machine's memory that is kept for connections without a request, in percent.
const CONNECTION_PERCENT: usize = 15;

/// Default of [`ClientLimits::stall_ms`].
pub const DEFAULT_STALL_MS: u64 = 15_000;

/// Default of [`ClientLimits::body_ms`].
pub const DEFAULT_BODY_MS: u64 = 60_000;

/// A client that has sent and taken nothing for this long is ended if others need what it keeps.
const STALLED_MS: u64 = 1_000;

/// Maximum duration of a request's head.
const HEAD_MS: u64 = 5_000;

/// How long the rest of a body is discarded after the response, so that the client reads the response before
/// the connection is closed.
const DISCARD_MS: u64 = 1_000;

/// Bytes of a response that its client has to take before it counts as having brought something.
const RESPONSE_STEP_BYTES: usize = 16 << 10;

/// What a process may use for its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Memory for requests and responses, in bytes.
    pub memory_bytes: usize,
    /// The same while there is a single large request.
    pub single_bytes: usize,
    /// Number of open connections.
    pub connections: usize,
    /// A client that has brought nothing for this long in the middle of a body or of a response is ended.
    pub stall_ms: u64,
    /// Maximum duration of a body. The deadline of a request ends its body earlier.
    pub body_ms: u64,
}

impl ClientLimits {
    /// Returns the limits for a machine with this memory and this number of descriptors. Half of the
    /// descriptors are left to the connections that the process opens itself.
    pub fn of_machine(memory_bytes: usize, descriptors: usize) -> Self {
        let for_connections = memory_bytes / 100 * CONNECTION_PERCENT / CONNECTION_BYTES;
        let for_descriptors = descriptors.saturating_sub(FILE_DESCRIPTORS) / 2;
        Self {
            memory_bytes: memory_bytes / 100 * REQUEST_PERCENT,
            single_bytes: memory_bytes / 100 * SINGLE_PERCENT,
            connections: for_connections.min(for_descriptors).max(1),
            stall_ms: DEFAULT_STALL_MS,
            body_ms: DEFAULT_BODY_MS,
        }
    }

    /// Memory that large requests may use together.
    fn large_bytes(&self) -> usize {
        self.memory_bytes - self.memory_bytes / 100 * ORDINARY_PERCENT
    }

    /// Memory that the large requests of one client may use, unless it is a single one.
    fn client_bytes(&self) -> usize {
        self.large_bytes() / 100 * CLIENT_PERCENT
    }
}

/// Identifies an open connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionKey {
    index: usize,
    generation: u64,
}

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// No request has begun.
    Idle,
    /// The head of a request is arriving.
    Head,
    /// The body of a request is arriving, and has to be complete after this time at most.
    Body {
        /// Time from the begin of the body, in milliseconds.
        limit_ms: u64,
    },
    /// The request is at work, or its response is on the way.
    Response,
    /// The response is complete, and the rest of the body is discarded.
    Discard,
}

/// Why a connection is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The head took too long.
    SlowHead,
    /// The body took too long, or nothing of it came for too long.
    SlowBody,
    /// The client does not take the response.
    UnreadResponse,
    /// The rest of the body was discarded for long enough.
    Discarded,
    /// Others need what the connection keeps, and it is idle or has brought nothing for a while.
    Displaced,
}

impl End {
    /// Returns the label of the counter and of the log line.
    pub fn label(self) -> &'static str {
        match self {
            Self::SlowHead => "slow_head",
            Self::SlowBody => "slow_body",
            Self::UnreadResponse => "unread_response",
            Self::Discarded => "discarded",
            Self::Displaced => "displaced",
        }
    }
}

/// Why something is not kept for a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// The process has no memory left for requests of this size.
    Process,
    /// The client's large requests use their share.
    Client,
}

impl Shortage {
    /// Returns the reason for the log and the label of the counter.
    pub fn label(self) -> &'static str {
        match self {
            Self::Process => "no memory left for the request",
            Self::Client => "the large requests of the client use their share of the memory",
        }
    }
}

/// An open connection.
#[derive(Debug)]
struct Connection {
    generation: u64,
    activity: Activity,
    began_ms: u64,
    /// When the client last brought something: a part of what it sends.
    progress_ms: u64,
    /// Since when the client takes no more of the response, and what it has taken since then.
    blocked: Option<(u64, usize)>,
    kept_bytes: usize,
    client: Arc<str>,
    ended: bool,
}

impl Connection {
    /// Since when the client has brought nothing although the process waits for it, if it does.
    fn stalled_since_ms(&self) -> Option<u64> {
        match (self.activity, self.blocked) {
            (_, Some((since_ms, _))) => Some(since_ms),
            (Activity::Response, None) => None,
            _ => Some(self.progress_ms),
        }
    }
}

/// The connections of one process and the memory that is kept for them.
#[derive(Debug)]
pub struct Clients {
    limits: ClientLimits,
    connections: Vec<Option<Connection>>,
    free: Vec<usize>,
    generation: u64,
    used_bytes: usize,
    /// Part of `used_bytes` that connections give back which are ending.
    ending_bytes: usize,
}

impl Clients {
    /// Returns the state of a process without connections.
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            limits,
            connections: Vec::new(),
            free: Vec::new(),
            generation: 0,
            used_bytes: 0,
            ending_bytes: 0,
        }
    }

    /// Returns the limits.
    pub fn limits(&self) -> &ClientLimits {
        &self.limits
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.connections.len() - self.free.len()
    }

    /// Returns the memory that is kept for requests and responses.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Adds a connection, so that `spare` more could be added. If there are too many, another one has to end:
    /// the one that has been idle for the longest time, or else the one that has brought nothing for the
    /// longest time. Returns `None` if all are in use.
    pub fn open_connection(
        &mut self,
        spare: usize,
        now_ms: u64,
    ) -> Option<(ConnectionKey, Option<ConnectionKey>)> {
        let ending = self.connections().filter(|(_, it)| it.ended).count();
        let displaced = match self.open() - ending + spare >= self.limits.connections {
            true => Some(self.displaceable(now_ms)?),
            false => None,
        };
        if let Some(key) = displaced {
            self.mark_ended(key);
        }
        self.generation += 1;
        let connection = Connection {
            generation: self.generation,
            activity: Activity::Idle,
            began_ms: now_ms,
            progress_ms: now_ms,
            blocked: None,
            kept_bytes: 0,
            client: "".into(),
            ended: false,
        };
        let index = self.free.pop().unwrap_or(self.connections.len());
        match self.connections.get_mut(index) {
            Some(slot) => *slot = Some(connection),
            None => self.connections.push(Some(connection)),
        }
        let key = ConnectionKey {
            index,
            generation: self.generation,
        };
        Some((key, displaced))
    }

    /// Removes a connection. What is kept for it is given back by those who hold it.
    pub fn close_connection(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connection(key) {
            let (ended, kept_bytes) = (connection.ended, connection.kept_bytes);
            self.ending_bytes -= if ended { kept_bytes } else { 0 };
            self.connections[key.index] = None;
            self.free.push(key.index);
        }
    }

    /// Records what a connection is used for from now on.
    pub fn begin(&mut self, key: ConnectionKey, activity: Activity, now_ms: u64) {
        self.undo_ended(&[key]);
        if let Some(connection) = self.connection(key) {
            connection.activity = activity;
            connection.began_ms = now_ms;
            connection.progress_ms = now_ms;
        }
    }

    /// Records whose request a connection carries: that of an organisation, or else of an address.
    pub fn identify(&mut self, key: ConnectionKey, client: &Arc<str>) {
        if let Some(connection) = self.connection(key) {
            connection.client = client.clone();
        }
    }

    /// Returns whose request a connection carries; an empty name if the connection is closed.
    pub fn client(&mut self, key: ConnectionKey) -> Arc<str> {
        self.connection(key)
            .map_or_else(|| "".into(), |it| it.client.clone())
    }

    /// Records that a client has sent a part of what is expected of it.
    pub fn progressed(&mut self, key: ConnectionKey, now_ms: u64) {
        if let Some(connection) = self.connection(key) {
            connection.progress_ms = now_ms;
        }
    }

    /// Records that a client took bytes of the response, and whether it takes more now.
    pub fn taken(&mut self, key: ConnectionKey, bytes: usize, takes_more: bool, now_ms: u64) {
        let Some(connection) = self.connection(key) else {
            return;
        };
        connection.blocked = match (takes_more, connection.blocked) {
            (true, None) => None,
            (false, None) => Some((now_ms, bytes)),
            (_, Some((_, taken))) if taken + bytes >= RESPONSE_STEP_BYTES => Some((now_ms, 0)),
            (_, Some((since_ms, taken))) => Some((since_ms, taken + bytes)),
        };
    }

    /// Records that a client has taken all of the response so far.
    pub fn took_all(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connection(key) {
            connection.blocked = None;
        }
    }

    /// Keeps more for a request of a client. Returns the connections that have to end for it: they have brought
    /// nothing for a while.
    ///
    /// # Errors
    ///
    /// [`Shortage`] if the budget does not allow it. Nothing is kept then.
    pub fn keep(
        &mut self,
        key: ConnectionKey,
        bytes: usize,
        now_ms: u64,
    ) -> Result<Vec<ConnectionKey>> {
        let kept_bytes = self.connection(key).map_or(0, |it| it.kept_bytes);
        let total_bytes = kept_bytes.saturating_add(bytes);
        let limit_bytes = match total_bytes > ORDINARY_BYTES {
            true => self.large_limit_bytes(key, total_bytes)?,
            false => self.limits.memory_bytes,
        };
        if bytes > limit_bytes {
            return Err(Shortage::Process);
        }
        let mut displaced = Vec::new();
        while self.used_bytes - self.ending_bytes + bytes > limit_bytes {
            let stalled = self.longest_stalled(now_ms, |it| it.kept_bytes > 0, Some(key));
            let Some(stalled) = stalled else {
                self.undo_ended(&displaced);
                return Err(Shortage::Process);
            };
            self.mark_ended(stalled);
            displaced.push(stalled);
        }
        self.add(key, bytes);
        Ok(displaced)
    }

    /// Keeps more for a response that exists already, whatever the budget. Returns the connections that have
    /// to end for it, as far as there are any.
    pub fn keep_response(
        &mut self,
        key: ConnectionKey,
        bytes: usize,
        now_ms: u64,
    ) -> Vec<ConnectionKey> {
        let kept = self.keep(key, bytes, now_ms);
        kept.unwrap_or_else(|_| {
            self.add(key, bytes);
            Vec::new()
        })
    }

    /// Gives back what was kept for a request.
    pub fn give_back(&mut self, key: ConnectionKey, bytes: usize) {
        self.used_bytes -= bytes;
        if let Some(connection) = self.connection(key) {
            connection.kept_bytes -= bytes;
            let ended = connection.ended;
            self.ending_bytes -= if ended { bytes } else { 0 };
        }
    }

    /// Ends the connections whose clients took too long.
    pub fn end_late(&mut self, now_ms: u64) -> Vec<(ConnectionKey, End)> {
        let (stall_ms, body_ms) = (self.limits.stall_ms, self.limits.body_ms);
        let since = |began_ms: u64| now_ms.saturating_sub(began_ms);
        let late: Vec<_> = self
            .connections()
            .filter(|(_, connection)| !connection.ended)
            .filter_map(|(key, connection)| {
                let end = match (connection.activity, connection.blocked) {
                    (_, Some((since_ms, _))) if since(since_ms) > stall_ms => End::UnreadResponse,
                    (Activity::Head, _) if since(connection.began_ms) > HEAD_MS => End::SlowHead,
                    (Activity::Body { limit_ms }, _)
                        if since(connection.progress_ms) > stall_ms
                            || since(connection.began_ms) > limit_ms.min(body_ms) =>
                    {
                        End::SlowBody
                    }
                    (Activity::Discard, _) if since(connection.began_ms) > DISCARD_MS => {
                        End::Discarded
                    }
                    _ => return None,
                };
                Some((key, end))
            })
            .collect();
        late.iter().for_each(|(key, _)| self.mark_ended(*key));
        late
    }

    /// Returns the connection that ends if there are too many.
    fn displaceable(&self, now_ms: u64) -> Option<ConnectionKey> {
        let idle = self
            .connections()
            .filter(|(_, it)| it.activity == Activity::Idle && it.blocked.is_none() && !it.ended)
            .min_by_key(|(_, it)| it.progress_ms);
        idle.map(|(key, _)| key)
            .or_else(|| self.longest_stalled(now_ms, |_| true, None))
    }

    /// Returns the connection that has brought nothing for the longest time, if that is a while.
    fn longest_stalled(
        &self,
        now_ms: u64,
        is_candidate: impl Fn(&Connection) -> bool,
        except: Option<ConnectionKey>,
    ) -> Option<ConnectionKey> {
        self.connections()
            .filter(|(key, it)| !it.ended && Some(*key) != except && is_candidate(it))
            .filter_map(|(key, it)| Some((it.stalled_since_ms()?, key)))
            .filter(|(since_ms, _)| now_ms.saturating_sub(*since_ms) >= STALLED_MS)
            .min_by_key(|(since_ms, _)| *since_ms)
            .map(|(_, key)| key)
    }

    fn add(&mut self, key: ConnectionKey, bytes: usize) {
        self.used_bytes += bytes;
        if let Some(connection) = self.connection(key) {
            connection.kept_bytes += bytes;
            let ended = connection.ended;
            self.ending_bytes += if ended { bytes } else { 0 };
        }
    }

    /// Returns the limit for all that is kept if one of the large requests keeps `total_bytes`.
    fn large_limit_bytes(&mut self, key: ConnectionKey, total_bytes: usize) -> Result<usize> {
        let client = self.client(key);
        let others = self
            .connections()
            .filter(|(other, it)| *other != key && !it.ended && it.kept_bytes > ORDINARY_BYTES);
        let (mut is_single, mut of_client_bytes) = (true, 0);
        for (_, other) in others {
            is_single = false;
            of_client_bytes += match other.client == client {
                true => other.kept_bytes,
                false => 0,
            };
        }
        let exceeds_share = of_client_bytes + total_bytes > self.limits.client_bytes();
        match (is_single, of_client_bytes > 0 && exceeds_share) {
            (true, _) => Ok(self.limits.single_bytes),
            (false, true) => Err(Shortage::Client),
            (false, false) => Ok(self.limits.large_bytes()),
        }
    }

    fn mark_ended(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connection(key).filter(|it| !it.ended) {
            connection.ended = true;
            let kept_bytes = connection.kept_bytes;
            self.ending_bytes += kept_bytes;
        }
    }

    fn undo_ended(&mut self, keys: &[ConnectionKey]) {
        for key in keys {
            if let Some(connection) = self.connection(*key).filter(|it| it.ended) {
                connection.ended = false;
                let kept_bytes = connection.kept_bytes;
                self.ending_bytes -= kept_bytes;
            }
        }
    }

    fn connection(&mut self, key: ConnectionKey) -> Option<&mut Connection> {
        let connection = self.connections.get_mut(key.index)?.as_mut()?;
        (connection.generation == key.generation).then_some(connection)
    }

    fn connections(&self) -> impl Iterator<Item = (ConnectionKey, &Connection)> {
        let slots = self.connections.iter().enumerate();
        slots.filter_map(|(index, connection)| {
            let connection = connection.as_ref()?;
            let generation = connection.generation;
            Some((ConnectionKey { index, generation }, connection))
        })
    }
}

#[cfg(test)]
mod tests;
