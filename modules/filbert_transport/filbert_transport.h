#pragma once

/** @file
    Networking and event handling. An event loop, one per program, drives everything that waits:
    an HTTP server and client (libwebsockets), message sockets (ZeroMQ), timers and signals.

    Processes exchange messages through ZeroMQ sockets: a message_server (ROUTER) accepts
    connections from many peers, and a message_client (DEALER) connects to one server. CURVE is
    ZeroMQ's encryption; a curve_site holds the keys of a process and of its peers. HTTP connections
    are encrypted with TLS; makeCertificates() issues the certificates for it.

    This module holds no scheduling logic.

    A request_limiter, one per program, keeps what clients make the process hold within the memory
    and descriptors of its host; its decisions are in request_budget.

    Depends on: filbert_core, filbert_messages, libwebsockets, ZeroMQ, prometheus-cpp.
*/

#include "certificates.h"
#include "curve_site.h"
#include "dealer_pool.h"
#include "event_loop.h"
#include "http_client.h"
#include "http_server.h"
#include "http_types.h"
#include "limiter_metrics.h"
#include "member_sockets.h"
#include "message_socket.h"
#include "process_limits.h"
#include "request_budget.h"
#include "request_limiter.h"
