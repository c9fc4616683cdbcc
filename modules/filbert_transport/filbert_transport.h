#pragma once

/** @file
    The one loop of a program and what waits on it: HTTP server and client, ZeroMQ sockets, timers,
    signals. No decision of the product is made here.

    Depends on: filbert_core, filbert_messages, libwebsockets, ZeroMQ.
*/

#include "certificates.h"
#include "curve_site.h"
#include "dealer_pool.h"
#include "event_loop.h"
#include "http_client.h"
#include "http_server.h"
#include "http_types.h"
#include "member_sockets.h"
#include "message_socket.h"
