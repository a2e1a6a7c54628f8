//! Remembers which software generated the streams of callers, so that a stream that broke off goes
//! on only at an endpoint with the same software.
//!
//! A caller may resume a stream at any instance. While all endpoints of a service have one software,
//! nothing needs to be known. As long as streams of several versions may be resumed, every instance
//! tells the others of its recent streams, those that have broken off included. See
//! `docs/design/streams.md`.

use std::{
    collections::{
        HashMap,
        HashSet,
        VecDeque, //
    },
    sync::Arc, //
};

/// Time for which a stream may be resumed after it began: longer than any deadline of a caller.
pub const STREAM_LIFETIME_MS: u64 = 60_000;

/// Largest number of streams that one instance remembers.
const MAX_STREAMS: usize = 20_000;

/// A stream that began at this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Stream {
    service: Arc<str>,
    software: Arc<str>,
}

/// The recent streams of this instance.
#[derive(Debug, Default)]
pub struct Streams {
    streams: HashMap<Arc<str>, Stream>,
    /// Ids of the streams that the other instances have not been told of.
    unannounced: HashSet<Arc<str>>,
    /// Ids with the time at which the stream began, in monotonic milliseconds.
    order: VecDeque<(u64, Arc<str>)>,
}

impl Streams {
    /// Records that a stream began. `id` is the id of the caller's request.
    pub fn began(&mut self, id: &Arc<str>, service: &Arc<str>, software: &Arc<str>, now_ms: u64) {
        let is_old = |began_ms: u64| now_ms.saturating_sub(began_ms) > STREAM_LIFETIME_MS;
        while let Some((began_ms, oldest)) = self.order.front() {
            if !is_old(*began_ms) && self.order.len() < MAX_STREAMS {
                break;
            }
            self.streams.remove(oldest);
            self.unannounced.remove(oldest);
            self.order.pop_front();
        }
        let stream = Stream {
            service: service.clone(),
            software: software.clone(),
        };
        self.unannounced.insert(id.clone());
        if self.streams.insert(id.clone(), stream).is_none() {
            self.order.push_back((now_ms, id.clone()));
        }
    }

    /// Returns the streams, with their software, that all instances have to be told of now, and marks
    /// them as told. `is_mixed` says whether several versions may have begun the streams of a service.
    pub fn due_announcements(
        &mut self,
        is_mixed: &dyn Fn(&str) -> bool,
    ) -> Vec<(Arc<str>, Arc<str>)> {
        let mut due = Vec::new();
        self.unannounced.retain(|id| {
            let stream = self.streams.get(id);
            let stream = stream.filter(|stream| is_mixed(&stream.service));
            due.extend(stream.map(|stream| (id.clone(), stream.software.clone())));
            stream.is_none()
        });
        due
    }

    /// Returns the services of the streams that the other instances have not been told of.
    pub fn unannounced_services(&self) -> HashSet<Arc<str>> {
        let streams = self.unannounced.iter();
        let streams = streams.filter_map(|id| self.streams.get(id));
        streams.map(|stream| stream.service.clone()).collect()
    }

    /// Returns the software of a stream that began at this instance. `id` is the id of the request that
    /// brought its first event.
    pub fn software(&self, id: &str) -> Option<Arc<str>> {
        Some(self.streams.get(id)?.software.clone())
    }
}

#[cfg(test)]
mod tests;
