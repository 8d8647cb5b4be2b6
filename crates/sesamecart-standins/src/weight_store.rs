//! The platform's weight store, whose rate all loads share.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use indexmap::IndexMap;
use serde_json::json;
use sesamecart_vocabulary::Bytes;

use crate::body::{self, Body};
use crate::server::{Connection, Cut, Handler, Server};

/// The behaviour of a weight store.
#[derive(Clone, Copy, Debug)]
pub struct WeightStoreConfig {
    /// The size of one model's weights.
    pub bytes: Bytes,
    /// The rate that all loads share, in a second.
    pub bytes_per_second: Bytes,
    /// The most loads at once; more get 429.
    pub loads_at_once: usize,
}

#[derive(Debug)]
struct Loads {
    left: IndexMap<String, f64>,
    updated: Instant,
}

#[derive(Debug)]
struct State {
    config: WeightStoreConfig,
    loads: Mutex<Loads>,
}

/// A weight store on loopback.
#[derive(Debug)]
pub struct WeightStore {
    state: Arc<State>,
    server: Server,
}

impl WeightStore {
    /// Starts a store that holds every model and version that is asked for.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback port or thread can be had.
    pub fn start(config: WeightStoreConfig) -> io::Result<Self> {
        let loads = Mutex::new(Loads {
            left: IndexMap::new(),
            updated: Instant::now(),
        });
        let state = Arc::new(State { config, loads });
        let server = Server::start("weights", Arc::clone(&state))?;
        Ok(Self { state, server })
    }

    /// Returns the address that it listens at.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the number of loads that are under way.
    #[must_use]
    pub fn loads(&self) -> usize {
        let loads = self.state.loads.lock().unwrap();
        loads.left.values().filter(|left| **left > 0.0).count()
    }

    /// Closes every connection and ends the thread.
    pub fn stop(self) {}
}

impl Loads {
    /// Shares the rate since the last look among the loads that are under way.
    fn advance(&mut self, rate: f64) {
        let running = self.left.values().filter(|left| **left > 0.0).count();
        let earned = self.updated.elapsed().as_secs_f64() * rate;
        self.updated = Instant::now();
        if running == 0 {
            return;
        }
        #[expect(
            clippy::cast_precision_loss,
            reason = "a count of loads is far below 2^52"
        )]
        let share = earned / running as f64;
        for left in self.left.values_mut() {
            *left = (*left - share).max(0.0);
        }
    }
}

impl Handler for State {
    async fn answer(
        &self,
        req: Request<Incoming>,
        _connection: Connection,
    ) -> Result<Response<Body>, Cut> {
        let Some(name) = req.uri().path().strip_prefix("/weights/") else {
            return Ok(body::error(StatusCode::NOT_FOUND, "no such path"));
        };
        Ok(self.load(name))
    }
}

impl State {
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "rates and times of a stand-in need no more than 52 bits"
    )]
    fn load(&self, name: &str) -> Response<Body> {
        let rate = self.config.bytes_per_second.0.max(1) as f64;
        let mut loads = self.loads.lock().unwrap();
        loads.advance(rate);
        let running = loads.left.values().filter(|left| **left > 0.0).count();
        if !loads.left.contains_key(name) && running >= self.config.loads_at_once {
            let mut response = body::error(StatusCode::TOO_MANY_REQUESTS, "too many loads");
            let headers = response.headers_mut();
            headers.insert("retry-after", http::HeaderValue::from_static("1"));
            return response;
        }
        let size = self.config.bytes.0 as f64;
        let left = *loads.left.entry(name.to_owned()).or_insert(size);
        if left <= 0.0 {
            loads.left.shift_remove(name);
        }
        let running = loads
            .left
            .values()
            .filter(|left| **left > 0.0)
            .count()
            .max(1);
        let done_after_ms = (left / (rate / running as f64) * 1_000.0).ceil() as u64;
        let answer = json!({ "bytes": self.config.bytes, "done_after_ms": done_after_ms });
        body::json(StatusCode::OK, &answer)
    }
}
