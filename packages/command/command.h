/**
 * The command package: the operators' command line, binary chervilmount-ctl. It checks and compares
 * configuration files and is a client of a node's HTTP interface for operators.
 *
 * Dependencies: model, Boost.Beast (HTTP), popt (command line), OpenSSL (random keys).
 */
#pragma once

#include "command/commands/run.h"
