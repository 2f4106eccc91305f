/**
 * The model package: findings, identifiers, the configuration objects with their checks, and JSON
 * helpers. It performs no I/O.
 *
 * Dependencies: Boost.JSON, OpenSSL (digests), xxHash (non-cryptographic hashes).
 */
#pragma once

#include "model/check/configurationcheck.h"
#include "model/check/limits.h"
#include "model/configuration/configuration.h"
#include "model/configuration/objectkind.h"
#include "model/digest/keydigester.h"
#include "model/digest/sha256.h"
#include "model/findings/finding.h"
#include "model/findings/findingserror.h"
#include "model/findings/findingsjson.h"
#include "model/findings/sourcelocation.h"
#include "model/index/configurationindex.h"
#include "model/index/keytable.h"
#include "model/index/routetable.h"
#include "model/json/document.h"
#include "model/json/objectreader.h"
#include "model/json/text.h"
#include "model/parsing/configurationlocations.h"
#include "model/parsing/configurationparser.h"
#include "model/parsing/objectfields.h"
#include "model/request/requestcontext.h"
#include "model/version/configurationdelta.h"
#include "model/version/configurationdiff.h"
#include "model/version/objecthashes.h"
#include "model/version/versionedconfiguration.h"
