/**
 * The adapters package: everything that does input and output. HTTP over Boost.Beast, links between
 * nodes over ZeroMQ with CURVE, the client of the platform's services, logs and metrics. All of it
 * runs on one single-threaded Boost.Asio I/O context.
 *
 * Dependencies: model, messages, Boost.Asio, Boost.Beast, Boost.Histogram, Boost.JSON, ZeroMQ,
 * log4cxx, OpenSSL.
 */
#pragma once

#include "adapters/http/httpconnection.h"
#include "adapters/http/httplistener.h"
#include "adapters/http/responsehead.h"
#include "adapters/logging/decisionlog.h"
#include "adapters/metrics/metrics.h"
#include "adapters/peerlink/peertransport.h"
#include "adapters/platform/platformclient.h"
#include "adapters/tasks/signal.h"
#include "adapters/tasks/task.h"
