/**
 * The command package: the operators' command line, binary chervilmount-ctl. It checks and compares
 * configurations in files and speaks the operators' HTTP interface of a node.
 *
 * Dependencies: model, Boost.Beast (HTTP), popt (command line), OpenSSL (random keys).
 */
#pragma once

#include "command/commands/run.h"
