//! HTTP calls to the daemons of a harness.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use serde_json::{Value, json};

use super::{CONDITION_TIMEOUT, DaemonReply, Harness, UpstreamSpec, wait_until};

impl Harness {
    pub(super) async fn wait_for_operator_api(&self, index: usize) {
        wait_until("the operator API answers", || async move {
            self.call_operator_api(index, Method::GET, "/v1/status", None)
                .await
                .is_some()
        })
        .await;
    }

    /// Waits until a daemon reports that it is ready for requests.
    pub async fn wait_until_ready(&self, index: usize) {
        wait_until("the daemon is ready", || async move {
            let reply = self
                .call_caller_api(index, Method::GET, "/v1/ready", &[], "")
                .await;
            reply.is_some_and(|reply| reply.status == StatusCode::OK)
        })
        .await;
    }

    /// Applies a document through the first daemon and waits until every daemon is ready and every
    /// member of the first daemon's environment has recorded the assignments of the document's
    /// instances.
    ///
    /// # Panics
    ///
    /// Panics when the document is refused or the wait times out.
    pub async fn apply(&self, text: &str) {
        let body = json!({
            "text": text,
            "change_id": format!("change-{}", rand::random::<u64>()),
            "expected_version": null,
            "author": "test",
        });
        let reply = self
            .call_operator_api(0, Method::PUT, "/v1/document", Some(body))
            .await;
        let reply = reply.expect("the operator API answers");
        assert_eq!(reply.status, StatusCode::OK, "{}", reply.json());
        for index in 0..self.daemons.len() {
            self.wait_until_ready(index).await;
        }
        let in_document = |spec: &&UpstreamSpec| text.contains(&format!("\"{}\"", spec.pool));
        let instances: Vec<&str> = self
            .options
            .upstreams
            .iter()
            .filter(in_document)
            .map(|spec| spec.name.as_str())
            .collect();
        wait_until("the instances are assigned", || {
            self.are_assigned(&instances)
        })
        .await;
    }

    /// Whether every member of the first daemon's environment has recorded an assignment of each
    /// instance.
    async fn are_assigned(&self, instances: &[&str]) -> bool {
        let status = self
            .call_operator_api(0, Method::GET, "/v1/status", None)
            .await;
        let moves = self
            .call_operator_api(0, Method::GET, "/v1/timeline?kind=move", None)
            .await;
        let (Some(status), Some(moves)) = (status, moves) else {
            return false;
        };
        let (status, moves) = (status.json(), moves.json());
        let no_items = Vec::new();
        let daemons = status["daemons"].as_array().unwrap_or(&no_items);
        let events = moves["events"].as_array().unwrap_or(&no_items);
        daemons.iter().all(|daemon| {
            instances.iter().all(|instance| {
                events
                    .iter()
                    .any(|event| event["daemon"] == daemon["name"] && event["subject"] == *instance)
            })
        })
    }

    /// Calls the operator API of a daemon. Returns `None` if no complete reply arrives.
    pub async fn call_operator_api(
        &self,
        index: usize,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> Option<DaemonReply> {
        let body = body.map(|body| body.to_string()).unwrap_or_default();
        let address = self.operator_address(index);
        self.send_request(
            address,
            method,
            path,
            &[("content-type", "application/json")],
            &body,
        )
        .await
    }

    /// Calls the caller API of a daemon. Returns `None` if no complete reply arrives.
    pub async fn call_caller_api(
        &self,
        index: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<DaemonReply> {
        self.send_request(self.caller_address(index), method, path, headers, body)
            .await
    }

    async fn send_request(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<DaemonReply> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
            .ok()?;
        let exchange = async {
            let response = self.client.request(request).await.ok()?;
            let (head, body) = response.into_parts();
            let body = body.collect().await.ok()?.to_bytes();
            Some(DaemonReply {
                status: head.status,
                headers: head.headers,
                body,
            })
        };
        tokio::time::timeout(CONDITION_TIMEOUT, exchange)
            .await
            .ok()
            .flatten()
    }
}
